package httpdriver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver/httpapi"
	"fescuestand/internal/stall"
)

const (
	maxIdleConns    = 256
	idleConnTimeout = 30 * time.Second
	maxAnswerBytes  = 64 << 20
	maxFailureBytes = 64 << 10
	maxHeaderBytes  = 32 << 10
	bufferBytes     = 16 << 10
)

// client sends requests to one address over a connection pool.
type client struct {
	address   string
	opts      options
	transport *http.Transport
}

func newClient(t driver.Target, d stall.Dialer) (*client, error) {
	if _, _, err := net.SplitHostPort(t.Address); err != nil {
		return nil, fmt.Errorf("address %q: allowed: host:port: %w", t.Address, err)
	}
	o, err := decodeOptions(t)
	if err != nil {
		return nil, err
	}
	return &client{
		address: t.Address,
		opts:    o,
		transport: &http.Transport{
			// Endpoints are connected directly, without a proxy and compression.
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
			MaxIdleConns:           maxIdleConns,
			MaxIdleConnsPerHost:    maxIdleConns,
			IdleConnTimeout:        idleConnTimeout,
			ReadBufferSize:         bufferBytes,
			WriteBufferSize:        bufferBytes,
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := stall.DialContext(ctx, d, o.dialTimeout, network, address)
				if err != nil {
					return nil, err
				}
				return &sealedConn{Conn: c}, nil
			},
		},
	}, nil
}

// Close closes the idle connections.
func (c *client) Close() error {
	c.transport.CloseIdleConnections()
	return nil
}

// onceBody is a request body that can be read only once.
//
// If a reused connection turns out to be closed, net/http retries the request on a new one if the
// request looks idempotent, for which an idempotency key or a body that it can rewind is enough. A
// body that can't be rewound prevents that.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// request is a request to an endpoint.
type request struct {
	method, path string
	header       http.Header
	body         []byte
	attempt      string // that the answer repeats, empty if it names none
}

// send sends one request and returns the answer if its status is 2xx.
func (c *client) send(ctx context.Context, r *request) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+c.address+r.path, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", driver.ErrNotSent, err)
	}
	if r.method != http.MethodGet {
		req.Body = onceBody{bytes.NewReader(r.body)}
		req.ContentLength = int64(len(r.body))
		if len(r.body) == 0 {
			req.ContentLength = -1 // with 0, net/http would replace the body
		}
	}
	for k, v := range r.header {
		req.Header[k] = v
	}
	if c.opts.client != "" {
		req.Header.Set(httpapi.HeaderClient, c.opts.client)
	}
	var t sendTracker
	resp, err := c.transport.RoundTrip(req.WithContext(t.trace(ctx)))
	if err != nil {
		return nil, c.classify(&t, err)
	}
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		defer func() { _ = resp.Body.Close() }()
		// The failure of another attempt says nothing of this one.
		if got := resp.Header.Get(httpapi.HeaderAttempt); got != "" && r.attempt != "" && got != r.attempt {
			return nil, wrongAttempt(r.attempt, got)
		}
		return nil, failure(resp)
	}
	return resp, nil
}

// classify wraps the error of a failed round trip by whether any byte of the request was sent.
func (c *client) classify(t *sendTracker, err error) error {
	if t.sent() {
		return fmt.Errorf("%w: %s: %w", driver.ErrConnectionLost, c.address, err)
	}
	return fmt.Errorf("%w: %s: %w", driver.ErrNotSent, c.address, err)
}

// expiredError is returned for an expired offset; it holds the stream's current bounds.
type expiredError struct{ first, end uint64 }

func (e *expiredError) Error() string { return fmt.Sprintf("oldest offset kept is %d", e.first) }
func (e *expiredError) Unwrap() error { return driver.ErrExpired }

// failure converts an answer whose status is not 2xx to an error. An answer without a valid Failure
// body, which a proxy may have sent, doesn't show whether the work ran and gives ErrBadAnswer.
func failure(resp *http.Response) error {
	var f httpapi.Failure
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxFailureBytes+1))
	if err != nil {
		return fmt.Errorf("%w: answer %s: %w", driver.ErrConnectionLost, resp.Status, err)
	}
	if len(b) > maxFailureBytes {
		return fmt.Errorf("%w: answer %s: longer than %d bytes", driver.ErrBadAnswer, resp.Status, maxFailureBytes)
	}
	if json.Unmarshal(b, &f) != nil || f.Name == "" {
		return fmt.Errorf("%w: answer %s without a reason", driver.ErrBadAnswer, resp.Status)
	}
	switch {
	case f.Name == httpapi.StaleFence:
		return fmt.Errorf("%w: %s", driver.ErrStaleFence, f.Detail)
	case f.Name == httpapi.Expired:
		return &expiredError{f.First, f.End}
	case f.Ran:
		return fmt.Errorf("%w: %s %s", driver.ErrFailed, f.Name, f.Detail)
	default:
		return fmt.Errorf("%w: %s %s", driver.ErrRefused, f.Name, f.Detail)
	}
}

// read reads the whole body of the answer and closes it.
func read(resp *http.Response) ([]byte, error) {
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", driver.ErrConnectionLost, err)
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		return nil, fmt.Errorf("%w: the end of the answer doesn't show", driver.ErrConnectionLost)
	case len(b) > maxAnswerBytes:
		return nil, fmt.Errorf("%w: longer than %d bytes", driver.ErrBadAnswer, maxAnswerBytes)
	}
	return b, nil
}

// decode reads the answer's body and unmarshals its JSON, which has the given fields, into v. Without them
// it isn't an answer of zeros.
func decode(resp *http.Response, v any, fields ...string) error {
	b, err := read(resp)
	if err != nil {
		return err
	}
	if err := checkPresent(b, fields); err != nil {
		return err
	}
	if err := json.Unmarshal(b, v); err != nil {
		return fmt.Errorf("%w: %w", driver.ErrBadAnswer, err)
	}
	return nil
}

func checkPresent(body []byte, fields []string) error {
	var present map[string]json.RawMessage
	if err := json.Unmarshal(body, &present); err != nil {
		return fmt.Errorf("%w: %w", driver.ErrBadAnswer, err)
	}
	for _, f := range fields {
		if _, ok := present[f]; !ok {
			return fmt.Errorf("%w: %q is missing", driver.ErrBadAnswer, f)
		}
	}
	return nil
}

func (c *client) get(ctx context.Context, path string, query url.Values, v any, fields ...string) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	resp, err := c.send(ctx, &request{method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	return decode(resp, v, fields...)
}

// post sends a request of an attempt.
func (c *client) post(ctx context.Context, path, attempt string, body, v any, fields ...string) (*http.Response, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", driver.ErrNotSent, err)
	}
	resp, err := c.send(ctx, &request{method: http.MethodPost, path: path, body: b, attempt: attempt})
	if err != nil {
		return nil, err
	}
	if v == nil {
		return resp, nil
	}
	return resp, decode(resp, v, fields...)
}
