package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkExchange measures a small exchange on a reused connection, with the endpoint's part in it.
func BenchmarkExchange(b *testing.B) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(b, err)
	b.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go answerAll(c)
		}
	}()
	p := NewPool()
	r := get("/")
	b.ReportAllocs()
	for b.Loop() {
		resp, err := p.Do(b.Context(), ln.Addr().String(), r)
		assert.NilError(b, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(b, err)
		resp.Close()
	}
}

func answerAll(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		answer(c, ok)
	}
}
