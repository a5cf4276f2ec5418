package callerapi

import (
	"net/http"
	"time"
)

const (
	// headerTimeout bounds how long a caller may take to send its headers. A slower caller would
	// occupy a connection without having sent a request.
	headerTimeout = 5 * time.Second
	// idleTimeout is longer than a caller's usual pause between requests, so that most requests
	// reuse a connection.
	idleTimeout = 2 * time.Minute
	// netHTTPMaxHeaderBytes is the bound that net/http enforces without a result code. It is above
	// maxHeaderBytes, which is enforced with one.
	netHTTPMaxHeaderBytes = 64 << 10
	// maxStreamsPerConn bounds the concurrent requests of one HTTP/2 connection.
	maxStreamsPerConn = 250
)

// NewServer returns a server that speaks HTTP/1.1 and unencrypted HTTP/2.
func NewServer(h http.Handler) *http.Server {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         &p,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreamsPerConn},
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    netHTTPMaxHeaderBytes,
	}
}
