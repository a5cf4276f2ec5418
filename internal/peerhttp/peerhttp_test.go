package peerhttp

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

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
