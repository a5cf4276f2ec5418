// Package httpjson holds what the stand-ins share: JSON over HTTP, the
// lifecycle of a server, faults that scenarios switch on, and log lines.
package httpjson

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"fescuestand/internal/driver/httpdriver/httpapi"
)

const (
	maxBody       = 64 << 20
	headerTimeout = 10 * time.Second
	stopTimeout   = 2 * time.Second
)

// Read decodes the request's body into v. On failure it has answered.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(v)
	if err != nil {
		Refuse(w, http.StatusBadRequest, "bad-json", err.Error())
		return false
	}
	return true
}

// Write answers with v.
func Write(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Refuse answers that the work was not executed.
func Refuse(w http.ResponseWriter, status int, name, detail string) {
	Fail(w, status, httpapi.Failure{Name: name, Detail: detail})
}

// Fail answers with a failure.
func Fail(w http.ResponseWriter, status int, f httpapi.Failure) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(f)
}

// Abort closes the connection without an answer.
func Abort() {
	panic(http.ErrAbortHandler)
}

// Serve serves h on address until ctx ends. It returns once connections have
// finished or the time for that is over.
func Serve(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "can't listen on %s", address)
	}
	return ServeOn(ctx, l, h)
}

// ServeOn is Serve with a listener that is open already.
func ServeOn(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		if s.Shutdown(stop) != nil {
			_ = s.Close()
		}
	}()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-stopped
	return nil
}
