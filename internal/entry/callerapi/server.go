package callerapi

import (
	"net/http"
	"time"
)

const (
	// headerTime is how long a caller may take to send its headers. Longer
	// ones hold a connection without having asked for anything.
	headerTime = 5 * time.Second
	// idleTime keeps a caller's connection between requests for longer than
	// its usual pause, so that most requests need no new one.
	idleTime = 2 * time.Minute
	// hardMaxHeaders is net/http's own bound, above the numbered one.
	hardMaxHeaders = 64 << 10
	// maxStreams bounds the concurrent requests of one h2 connection.
	maxStreams = 250
)

// NewServer returns a server for HTTP/1.1 and unencrypted HTTP/2.
func NewServer(h http.Handler) *http.Server {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         &p,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    hardMaxHeaders,
	}
}
