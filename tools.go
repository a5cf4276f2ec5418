//go:build tools

// Package tools pins the version of the generator that `make generate` builds.
package tools

import _ "google.golang.org/protobuf/cmd/protoc-gen-go"
