package peerhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/network"
)

const testLimit = 64

// Guards against an answer without content, cut short or without an end that counts as what the other VM has.
func TestOnlyWholeAnswersAreTaken(t *testing.T) {
	for name, c := range map[string]struct {
		answer http.HandlerFunc
		err    error
	}{
		"whole":       {func(w http.ResponseWriter, _ *http.Request) { Write(w, []byte("data")) }, nil},
		"nothing":     {func(w http.ResponseWriter, _ *http.Request) { Write(w, nil) }, nil},
		"no handler":  {func(http.ResponseWriter, *http.Request) {}, ErrNotWhole},
		"empty":       {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(nil) }, ErrNotWhole},
		"earlier VM":  {func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "data") }, nil},
		"too long":    {func(w http.ResponseWriter, _ *http.Request) { Write(w, make([]byte, testLimit+1)) }, ErrNotWhole},
		"without end": {endless, ErrNotWhole},
	} {
		srv := httptest.NewServer(c.answer)
		_, err := New(network.Machine{}).Get(t.Context(), strings.TrimPrefix(srv.URL, "http://"), "/", testLimit)
		srv.Close()
		assert.ErrorIs(t, err, c.err, name)
	}
}

// endless gives an answer whose end shows only by the end of the connection.
func endless(w http.ResponseWriter, _ *http.Request) {
	var nc net.Conn
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n\r\nda")
	_ = nc.Close()
}

// Guards against a VM whose answer without end fills the memory of another one, or holds it for longer than its call's time.
func TestAnswersWithoutEndAreGivenUp(t *testing.T) {
	const callTime, maxAllocations = 200 * time.Millisecond, 4 << 20
	whole := "HTTP/1.1 200 OK\r\n" + wholeHeader + ": 1\r\n"
	for name, tc := range map[string]struct {
		first, again string
		pause        time.Duration
	}{
		"header":      {whole + "X-A: ", strings.Repeat("a", 64<<10), 0},
		"fields":      {whole, strings.Repeat("X-A: b\r\n", 512), 0},
		"interim":     {"", strings.Repeat("HTTP/1.1 103 X\r\nX-A: b\r\n\r\n", 512), 0},
		"body":        {whole + "\r\n", strings.Repeat("a", 64<<10), 0},
		"chunks":      {whole + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\na\r\n", 512), 0},
		"extensions":  {whole + "Transfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("a", 64<<10), 0},
		"trailers":    {whole + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X-A: b\r\n", 512), 0},
		"length":      {whole + "Content-Length: 1099511627776\r\n\r\n", strings.Repeat("a", 64<<10), 0},
		"failure":     {"HTTP/1.1 500 X\r\n\r\n", strings.Repeat("a", 64<<10), 0},
		"header drip": {whole + "X-A: ", "a", 5 * time.Millisecond},
		"body drip":   {whole + "Content-Length: 60\r\n\r\n", "a", 5 * time.Millisecond},
		"chunk drip":  {whole + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", 5 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				nc, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, err = io.WriteString(nc, tc.first)
				for again := []byte(tc.again); err == nil; {
					_, err = nc.Write(again) // without allocations, which are measured
					time.Sleep(tc.pause)
				}
				_ = nc.Close()
				close(closed)
			}))
			defer srv.Close()
			ctx, cancel := context.WithTimeout(t.Context(), callTime)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := New(network.Machine{}).Get(ctx, strings.TrimPrefix(srv.URL, "http://"), "/", 1<<20)
			runtime.ReadMemStats(&after)
			if name == "body drip" {
				assert.ErrorIs(t, err, context.DeadlineExceeded)
			}
			assert.Assert(t, err != nil)
			assert.Assert(t, after.TotalAlloc-before.TotalAlloc < maxAllocations, "%d bytes", after.TotalAlloc-before.TotalAlloc)
			<-closed
		})
	}
}
