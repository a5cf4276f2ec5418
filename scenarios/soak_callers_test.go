package scenarios

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"fescuestand/platform/standin"
)

// The routes of the soak.
const (
	pathResumable = "/resumable/" // a stream that may be resumed on another engine
	pathOnce      = "/once/"      // a stream that may not be resumed
	pathPay       = "/pay/"       // a non-idempotent call, which may run only once
	pathReads     = "/reads/"     // an idempotent call, which may be retried
)

const (
	soakCallers = 8
	// callerTimeout is the maximum time that a caller waits for an answer.
	callerTimeout   = 4 * time.Second
	requestInterval = 30 * time.Millisecond
)

// soakAnswer is the outcome of a request as observed by its caller.
type soakAnswer struct {
	id, path, vm   string
	status         int  // 0 if there was no answer
	complete       bool // the answer is complete and belongs to the request
	problem        string
	sent, answered time.Time
	err            error
}

// callers send requests until ctx ends.
func (s *soak) callers(ctx context.Context) { s.manyCallers(ctx, soakCallers, requestInterval) }

// manyCallers starts count callers that pause for interval after each request. Many callers with long
// pauses go on while some of them wait for an answer.
func (s *soak) manyCallers(ctx context.Context, count int, interval time.Duration) {
	for i := range count {
		c := &soakCaller{
			s: s, name: fmt.Sprintf("c%d", i), rng: rand.New(rand.NewPCG(uint64(s.seed), uint64(i)+7)),
			http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}},
		}
		s.wg.Go(func() {
			defer c.http.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				c.send(n)
				time.Sleep(interval)
			}
		})
	}
}

// soakCaller is one caller with its connection pool and resolved addresses.
type soakCaller struct {
	s         *soak
	name      string
	rng       *rand.Rand
	http      *http.Client
	addresses []string
	expires   time.Time
}

// address returns a random address of the last resolution and resolves again after it has expired.
func (c *soakCaller) address() string {
	if time.Now().After(c.expires) {
		if list, ttl := c.resolve(); len(list) > 0 {
			keep := time.Duration(ttl * float64(time.Second))
			if c.rng.IntN(3) == 0 {
				keep *= 3 // some callers use addresses for longer than their TTL allows
			}
			c.addresses, c.expires = list, time.Now().Add(keep)
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[c.rng.IntN(len(c.addresses))]
}

func (c *soakCaller) resolve() ([]string, float64) {
	ctx, cancel := context.WithTimeout(c.s.ctx, time.Second)
	defer cancel()
	v := c.s.vms[c.rng.IntN(len(c.s.vms))]
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.directory+"/resolve?name="+soakHost+"&zone=z", nil)
	if err != nil {
		return nil, 0
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0
	}
	defer func() { _ = resp.Body.Close() }()
	var a struct {
		Addresses []string
		TTL       float64 `json:"ttlS"`
	}
	if json.NewDecoder(resp.Body).Decode(&a) != nil {
		return nil, 0
	}
	return a.Addresses, a.TTL
}

func (c *soakCaller) send(n int) {
	at := c.address()
	if at == "" {
		return
	}
	path := []string{pathResumable, pathOnce, pathPay, pathReads}[c.rng.IntN(4)]
	a := soakAnswer{id: fmt.Sprintf("%s-%d", c.name, n), path: path, vm: at, sent: time.Now()}
	c.exchange(&a)
	a.answered = time.Now()
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.s.answers = append(c.s.answers, a)
}

func (c *soakCaller) exchange(a *soakAnswer) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	// A body that can't be read twice keeps the HTTP client from retrying.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.vm+a.path, io.NopCloser(strings.NewReader("x")))
	if err != nil {
		a.err = err
		return
	}
	req.ContentLength, req.Host = 1, soakHost
	req.Header.Set("Attempt-Id", a.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	if a.path == pathResumable || a.path == pathOnce {
		req.Header.Set("Token-Count", "300,20")
		req.Header.Set("Prompt-Prefix", fmt.Sprintf("aa%d:200,%x:100", c.rng.IntN(4), c.rng.Uint32()))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		a.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	a.err = err
	if a.status == http.StatusOK {
		a.read(body, err)
	}
}

// read checks the body of an answer with status 200.
func (a *soakAnswer) read(body []byte, err error) {
	if a.path == pathPay || a.path == pathReads {
		a.complete = err == nil && string(body) == standin.CallBody(a.id)
		if err == nil && !a.complete {
			a.problem = fmt.Sprintf("body %q", body)
		}
		return
	}
	events, streamErr := eventsOf(body, a.id)
	switch {
	case streamErr != nil:
		a.problem = streamErr.Error()
	case err == nil && events != standin.Events:
		a.problem = fmt.Sprintf("ended without an error after %d events", events)
	}
	a.complete = err == nil && a.problem == ""
}

var errEvents = errors.New("events are missing, duplicated or of another request")

// eventsOf counts the events of a stream. They must be numbered consecutively from 1 and carry the id.
func eventsOf(body []byte, id string) (int, error) {
	n := 0
	for event := range bytes.SplitSeq(body, []byte("\n\n")) {
		if len(event) == 0 {
			continue
		}
		if string(event) != fmt.Sprintf("id: %d\ndata: %s", n+1, id) {
			return n, fmt.Errorf("%w: %q after %d", errEvents, event, n)
		}
		n++
	}
	return n, nil
}
