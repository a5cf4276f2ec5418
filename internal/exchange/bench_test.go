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

// BenchmarkUpload measures an exchange with a body, with the endpoint's part in it.
func BenchmarkUpload(b *testing.B) {
	for name, size := range map[string]int{"1KB": 1 << 10, "10KB": 10 << 10, "4MB": 4 << 20} {
		b.Run(name, func(b *testing.B) {
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			assert.NilError(b, err)
			b.Cleanup(func() { _ = ln.Close() })
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					go discardAll(c)
				}
			}()
			p := NewPool()
			r := &Request{Method: "POST", Target: "/", Host: "h", Body: make([]byte, size)}
			b.ReportAllocs()
			for b.Loop() {
				resp, err := p.Do(b.Context(), ln.Addr().String(), r)
				assert.NilError(b, err)
				_, err = io.Copy(io.Discard, resp.Body)
				assert.NilError(b, err)
				resp.Close()
			}
		})
	}
}

// discardAll answers each request once it has read its body.
func discardAll(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		answer(c, ok)
	}
}
