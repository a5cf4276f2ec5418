//go:build review

package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// result is what a client has seen of one request.
type result struct {
	id     string
	node   string
	sentAt time.Time
	took   time.Duration
	status int // zero if there was no whole answer
	header http.Header
	body   string
	err    error
}

// client sends requests over connections that it keeps.
type client struct {
	http *http.Client
}

func newClient() *client {
	return &client{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}}
}

// request is one request of a client.
type request struct {
	method, host, path string
	id                 string
	deadline           time.Duration
	header             map[string]string
	body               []byte
}

// send sends a request to a machine.
func (c *client) send(ctx context.Context, node string, q *request) result {
	r := result{id: q.id, node: node, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, q.deadline+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+node+q.path, bytes.NewReader(q.body))
	if err != nil {
		r.err = err
		return r
	}
	req.Host = q.host
	req.GetBody = nil // a request is sent once
	req.Header.Set("Attempt-Id", q.id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	for k, v := range q.header {
		req.Header.Set(k, v)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		r.err, r.took = err, time.Since(r.sentAt)
		return r
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	r.took, r.header, r.body = time.Since(r.sentAt), resp.Header, string(body)
	if err != nil {
		r.err = err
		return r
	}
	r.status = resp.StatusCode
	return r
}

// results collects what clients have seen.
type results struct {
	mu  sync.Mutex
	all []result
}

func (s *results) add(r result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, r)
}

// list returns the results so far.
func (s *results) list() []result {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]result(nil), s.all...)
}

// statuses counts the results by status; zero stands for no whole answer.
func (s *results) statuses() map[int]int {
	out := map[int]int{}
	for _, r := range s.list() {
		out[r.status]++
	}
	return out
}

func (r *result) String() string {
	text := fmt.Sprintf("request %s to %s: status %d after %s", r.id, r.node, r.status, r.took.Round(time.Millisecond))
	if r.err != nil && !errors.Is(r.err, context.Canceled) {
		text += ": " + r.err.Error()
	}
	return text
}
