//go:build tools

// Package tools pins the modules of the build's generators and of test
// libraries, so that go.mod names them from the first commit on.
package tools

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/apex/log"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/hashicorp/yamux"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/rotisserie/eris"
	_ "github.com/tailscale/hujson"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/protobuf/cmd/protoc-gen-go"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
