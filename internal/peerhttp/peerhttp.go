// Package peerhttp fetches data from other VMs over HTTP that is too large for a heartbeat
// datagram (beat).
package peerhttp

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"fescuestand/internal/exchange"
	"fescuestand/internal/network"
)

// wholeHeader marks an answer that the other VM has given deliberately. VMs of earlier versions don't send it.
const wholeHeader = "Fescue-Whole"

// ErrNotWhole means that an answer isn't known to be all that the other VM has.
var ErrNotWhole = errors.New("the answer isn't whole")

// maxHeaderBytes bounds an answer's header, which has five short fields.
const maxHeaderBytes = 32 << 10

// Client sends requests to other VMs. It is safe for concurrent use.
type Client struct{ http *http.Client }

// New returns a client on a network without keep-alive connections: an idle connection may have failed
// unnoticed, and requests are rare.
func New(n network.Network) *Client {
	dialer := n.Dialer(network.DialOptions{})
	return &Client{&http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes}}}
}

// Write answers a request of another VM. The body may be empty.
func Write(w http.ResponseWriter, body []byte) {
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(wholeHeader, "1")
	// The other VM reports a failed read.
	_, _ = w.Write(body)
}

// Get requests path from the VM at addr, an IP:port, and returns the body of a whole 200 answer of at most
// maxBytes.
func (c *Client) Get(ctx context.Context, addr, path string, maxBytes int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	// Errors of Close are ignored, as a failed read has already returned one.
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	if resp.ContentLength > maxBytes {
		return nil, fmt.Errorf("%w: it is longer than %d bytes", ErrNotWhole, maxBytes)
	}
	body, err := exchange.ReadBody(resp.Body, maxBytes)
	if _, ok := errors.AsType[*exchange.BoundError](err); ok {
		return nil, fmt.Errorf("%w: it is longer than %d bytes", ErrNotWhole, maxBytes)
	}
	if err != nil {
		return nil, err
	}
	return body, checkWhole(resp, body)
}

func checkWhole(resp *http.Response, body []byte) error {
	switch {
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		return fmt.Errorf("%w: its end doesn't show", ErrNotWhole)
	case len(body) == 0 && resp.Header.Get(wholeHeader) == "":
		return fmt.Errorf("%w: it is empty", ErrNotWhole)
	}
	return nil
}
