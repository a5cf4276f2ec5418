// Package peerhttp asks other VMs over HTTP for what is too large for a beat.
package peerhttp

import (
	"context"
	"fmt"
	"io"
	"net/http"
)

// Client asks other VMs. It is safe for concurrent use.
type Client struct{ http *http.Client }

// New returns a client without kept connections: one may have gone silent, and
// questions are rare.
func New() *Client {
	return &Client{&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// Get returns the body that the VM at addr, IP:port, has at path; take reads it.
func (c *Client) Get(ctx context.Context, addr, path string, take func(io.Reader) error) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	// What could go wrong has shown in the read.
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return take(resp.Body)
}
