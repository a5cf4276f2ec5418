package status

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// startServer runs the unit and returns its URL.
func startServer(t *testing.T, source Source, burn BurnSource) string {
	t.Helper()
	s := NewServer("127.0.0.1:0", source, burn)
	assert.NilError(t, s.Provision(t.Context()))
	ctx, stop := context.WithCancel(t.Context())
	ran := make(chan error, 1)
	go func() { ran <- s.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		err := <-ran
		assert.Assert(t, err == nil || errors.Is(err, context.Canceled), "%v", err)
		assert.NilError(t, s.Close())
	})
	return "http://" + s.ln.Addr().String()
}

func get(t *testing.T, url string) (status int, body string) {
	t.Helper()
	resp, err := http.Get(url)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(b)
}

// Guards against a check of a ready process that is answered only implicitly, as by a handler that does nothing.
func TestReadiness(t *testing.T) {
	for _, c := range []struct {
		report Report
		status int
	}{
		{Report{Ready: true}, http.StatusOK},
		{Report{}, http.StatusServiceUnavailable},
		{Report{Ready: true, Leaving: true}, http.StatusServiceUnavailable},
	} {
		status, _ := get(t, startServer(t, func() Report { return c.report }, nil)+PathReady)
		assert.Equal(t, status, c.status)
	}
}

// Guards against a fault in a report that ends a request without an answer.
func TestAFaultOfAReportIsRefused(t *testing.T) {
	url := startServer(t, func() Report { panic("fault") }, func() ([]byte, error) { return nil, nil })
	for _, path := range []string{PathStatus, PathReady} {
		status, body := get(t, url+path)
		assert.Equal(t, status, http.StatusInternalServerError)
		assert.Equal(t, body, "6999 internal: the request handler failed\n")
	}
	status, _ := get(t, url+PathBurn)
	assert.Equal(t, status, http.StatusInternalServerError, "an empty report isn't one")
}
