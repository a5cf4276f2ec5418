//go:build tools

// Package tools pins the version of protoc-gen-go, which `make generate` builds.
package tools

import _ "google.golang.org/protobuf/cmd/protoc-gen-go"
