package httpdriver

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver/httpapi"
)

func newTestClient(t *testing.T, h http.HandlerFunc) *client {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	c, err := newClient(driver.Target{Driver: Name, Address: strings.TrimPrefix(srv.URL, "http://")}, &net.Dialer{})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against an answer without content that counts as an append, an empty log, no VMs, an idle engine or a KV cache.
func TestAnswersWithoutContentAreErrors(t *testing.T) {
	for _, body := range []string{"", "null", "{}", `{"other":1}`, "[]"} {
		c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(httpapi.HeaderAttempt, "a")
			_, _ = io.WriteString(w, body)
		})
		for name, call := range map[string]func(ctx context.Context) error{
			"append": func(ctx context.Context) error { _, err := (&logService{c}).Append(ctx, "s", nil); return err },
			"read":   func(ctx context.Context) error { _, err := (&logService{c}).Read(ctx, "s", 1, 1, 0); return err },
			"vms":    func(ctx context.Context) error { _, err := (&vmList{c}).List(ctx); return err },
			"size":   func(ctx context.Context) error { _, err := (&weightStore{c}).Size(ctx, "m", "1"); return err },
			"rate":   func(ctx context.Context) error { _, err := (&weightStore{c}).Rate(ctx); return err },
			"state":  func(ctx context.Context) error { _, err := (&engine{c}).State(ctx); return err },
			"report": func(ctx context.Context) error { _, err := (&engine{c}).Report(ctx); return err },
			"caches": func(ctx context.Context) error { _, err := (&engine{c}).CacheEvents(ctx, 0); return err },
			"export": func(ctx context.Context) error { _, err := (&engine{c}).Export(ctx, "a"); return err },
			"prefill": func(ctx context.Context) error {
				_, err := (&engine{c}).Prefill(ctx, &driver.GenerateRequest{Attempt: "a"})
				return err
			},
		} {
			assert.Check(t, call(t.Context()) != nil, "%s: %q", name, body)
		}
	}
}

// Guards against an answer that breaks off and counts as whole, as its end shows only by the end of the connection.
func TestAnAnswerWhoseEndDoesNotShowIsNotWhole(t *testing.T) {
	c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		var nc net.Conn
		nc, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nAttempt: a\r\n\r\npart")
		_ = nc.Close()
	})
	_, err := (&service{c}).Call(t.Context(), &driver.Call{Attempt: "a", Operation: "o"})
	assert.ErrorIs(t, err, driver.ErrConnectionLost)
}
