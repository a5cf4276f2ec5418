package httpdriver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/driver"
)

// serveCut returns the address of an endpoint that answers with the next text and ends the connection.
func serveCut(t *testing.T, reset bool, texts <-chan string) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, <-texts)
			}
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	return ln.Addr().String()
}

// Guards against an endpoint that counts as idle, a KV cache, an order that counts as accepted, and a request that counts as
// refused, which are taken from an answer that was cut.
func TestCutAnswersShowNothing(t *testing.T) {
	calls := map[string]func(ctx context.Context, c *client) error{
		"report":  func(ctx context.Context, c *client) error { _, err := (&engine{c}).Report(ctx); return err },
		"state":   func(ctx context.Context, c *client) error { _, err := (&engine{c}).State(ctx); return err },
		"export":  func(ctx context.Context, c *client) error { _, err := (&engine{c}).Export(ctx, "a"); return err },
		"service": func(ctx context.Context, c *client) error { _, err := (&service{c}).Report(ctx); return err },
		"call": func(ctx context.Context, c *client) error {
			_, err := (&service{c}).Call(ctx, &driver.Call{Attempt: "a", Operation: "x"})
			return err
		},
		"prefill": func(ctx context.Context, c *client) error {
			_, err := (&engine{c}).Prefill(ctx, &driver.GenerateRequest{Attempt: "a"})
			return err
		},
		"order": func(ctx context.Context, c *client) error {
			return (&engine{c}).Order(ctx, driver.Order{}, func() error { return nil })
		},
	}
	const fields = "Attempt: a\r\nContent-Length: "
	texts := map[string]string{
		"answer":   "HTTP/1.1 200 OK\r\n" + fields + "38\r\n\r\n" + `{"running":1,"incarnation":1,"id":"k"}`,
		"accepted": "HTTP/1.1 202 Accepted\r\n" + fields + "0\r\n\r\n",
		"refusal":  "HTTP/1.1 503 X\r\n" + fields + "33\r\n\r\n" + `{"name":"queue-full","ran":false}`,
	}
	for name, text := range texts {
		for end, reset := range map[string]bool{"end": false, "reset": true} {
			t.Run(name+"/"+end, func(t *testing.T) {
				next := make(chan string, 1)
				c, err := newClient(driver.Target{Driver: Name, Address: serveCut(t, reset, next)}, &net.Dialer{})
				assert.NilError(t, err)
				t.Cleanup(func() { _ = c.Close() })
				for call, send := range calls {
					for at := range len(text) {
						next <- text[:at]
						err := send(t.Context(), c)
						assert.Assert(t, err != nil && !errors.Is(err, driver.ErrRefused) && !errors.Is(err, driver.ErrNotSent),
							"%s, byte %d of %q: %v", call, at, text, err)
					}
				}
			})
		}
	}
}
