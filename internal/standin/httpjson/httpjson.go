// Package httpjson holds the code that the fakes of outside systems share: JSON over HTTP, the
// lifecycle of a server, and faults that scenarios inject.
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
	maxBodyBytes  = 64 << 20
	headerTimeout = 10 * time.Second
	stopTimeout   = 2 * time.Second
)

// Read decodes the request's JSON body into v. On failure it answers 400 and returns false.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(v)
	if err != nil {
		Refuse(w, http.StatusBadRequest, "bad-json", err.Error())
		return false
	}
	return true
}

// Write answers with v as JSON.
func Write(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Refuse answers that the work was not executed.
func Refuse(w http.ResponseWriter, status int, name, detail string) {
	Fail(w, status, httpapi.Failure{Name: name, Detail: detail})
}

// Fail answers with a failure as JSON.
func Fail(w http.ResponseWriter, status int, f httpapi.Failure) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(f)
}

// Abort closes the connection without an answer. It panics and does not return.
func Abort() {
	panic(http.ErrAbortHandler)
}

// Serve serves h on address until ctx is done. It then waits up to stopTimeout for open connections to
// finish, and closes the rest.
func Serve(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "can't listen on %s", address)
	}
	return ServeOn(ctx, l, h)
}

// ServeOn is Serve on an open listener.
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
