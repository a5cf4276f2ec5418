// Package peerhttp fetches data from other VMs over HTTP that is too large for a heartbeat
// datagram (beat).
package peerhttp

import (
	"context"
	"fmt"
	"io"
	"net/http"
)

// Client sends requests to other VMs. It is safe for concurrent use.
type Client struct{ http *http.Client }

// New returns a client without keep-alive connections: an idle connection may have failed
// unnoticed, and requests are rare.
func New() *Client {
	return &Client{&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// Get requests path from the VM at addr, an IP:port, and passes the body of a 200 answer to
// readBody. It returns the error of readBody.
func (c *Client) Get(ctx context.Context, addr, path string, readBody func(io.Reader) error) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	// Errors of Close are ignored, as a failed read has already returned one.
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return readBody(resp.Body)
}
