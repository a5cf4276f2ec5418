package scenarios

import (
	"bytes"
	"cmp"
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
	body           string // of the request, empty for the default
	status         int    // 0 if there was no answer
	complete       bool   // the answer is complete and belongs to the request
	problem        string
	sent, answered time.Time
	err            error
	retryAfter     string // of a refusal
	unwritten      bool   // the caller had a connection and has written nothing of the request to it

	stream  takenUp
	events  int    // of the stream, including those that earlier attempts brought
	version string // of the endpoints that made them, empty before the first event
}

// takenUp is a stream that a caller has received in part. Its zero value is a new stream.
type takenUp struct {
	root    string // the attempt that brought the first event, empty for a new stream
	events  int
	version string // of the endpoints that made the events
}

// callers send requests until ctx ends.
func (s *soak) callers(ctx context.Context) { s.manyCallers(ctx, soakCallers, requestInterval) }

// manyCallers starts count callers that pause for interval after each request. Many callers with long
// pauses go on while some of them wait for an answer.
func (s *soak) manyCallers(ctx context.Context, count int, interval time.Duration) {
	for i := range count {
		c := s.newCaller(i)
		s.wg.Go(func() {
			defer c.http.CloseIdleConnections()
			if s.onlyStreams { // out of step with the other callers
				time.Sleep(time.Duration(c.rng.Int64N(int64(warmUpTime))))
			}
			for n := 0; ctx.Err() == nil; n++ {
				c.send(n)
				time.Sleep(interval)
			}
		})
	}
}

func (s *soak) newCaller(i int) *soakCaller {
	return &soakCaller{
		s: s, name: fmt.Sprintf("c%d", i), rng: rand.New(rand.NewPCG(uint64(s.seed), uint64(i)+7)),
		http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}},
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
	counted   bool          // http dials with dialCounted
	timeout   time.Duration // callerTimeout if it is zero
	unlimited bool          // requests don't say how long their answers may be
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
	if c.s.onlyStreams {
		path = pathResumable
	}
	a := soakAnswer{id: fmt.Sprintf("%s-%d", c.name, n), path: path, vm: at, sent: time.Now()}
	c.exchange(&a)
	c.record(&a)
	end, answered := time.Now().Add(takeUpTime), 0
	for i := 0; a.canBeTakenUp() && c.takesUp(i, answered, end); i++ {
		if at = c.address(); at == "" {
			return
		}
		a = takeUp(&a, fmt.Sprintf("%s-%d-%d", c.name, n, i), at)
		c.exchange(&a)
		c.record(&a)
		if a.status != 0 {
			answered++
		}
	}
}

// takeUp returns an attempt to receive the rest of a stream from a VM.
func takeUp(a *soakAnswer, id, vm string) soakAnswer {
	return soakAnswer{
		id: id, path: a.path, vm: vm, sent: time.Now(),
		stream: takenUp{cmp.Or(a.stream.root, a.id), a.events, a.version}, events: a.events, version: a.version,
	}
}

const (
	// maxTakeUps is how often a caller takes up a stream that broke off.
	maxTakeUps = 2
	// takeUpTime is how long a persistent caller takes up a stream, takeUpInterval the time between two
	// attempts, and maxAnsweredTakeUps the number of them that VMs answer.
	takeUpTime         = 6 * time.Second
	takeUpInterval     = 100 * time.Millisecond
	maxAnsweredTakeUps = 4
)

// takesUp reports whether the caller takes up a stream again after a number of attempts, of which VMs have
// answered some. A persistent caller waits before it does.
func (c *soakCaller) takesUp(attempts, answered int, end time.Time) bool {
	if !c.s.persistent {
		return attempts < maxTakeUps
	}
	if attempts > 0 {
		time.Sleep(takeUpInterval)
	}
	return answered < maxAnsweredTakeUps && time.Now().Before(end)
}

func (c *soakCaller) record(a *soakAnswer) {
	a.answered = time.Now()
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.s.answers = append(c.s.answers, *a)
}

// canBeTakenUp reports whether the stream broke off after an event, so that another VM may continue it.
func (a *soakAnswer) canBeTakenUp() bool {
	return a.path == pathResumable && a.events > 0 && !a.complete && a.problem == ""
}

func (c *soakCaller) exchange(a *soakAnswer) {
	timeout := cmp.Or(c.timeout, callerTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	// A body that can't be read twice keeps the HTTP client from retrying.
	body := cmp.Or(a.body, "x")
	if c.s.ownPrompts {
		body = cmp.Or(a.stream.root, a.id)
	}
	var w writes
	if c.counted {
		ctx = w.trace(ctx)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.vm+a.path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		a.err = err
		return
	}
	req.ContentLength, req.Host = int64(len(body)), soakHost
	req.Header.Set("Attempt-Id", a.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	if a.path == pathResumable || a.path == pathOnce {
		if !c.unlimited {
			req.Header.Set("Token-Count", "300,20")
		}
		req.Header.Set("Prompt-Prefix", fmt.Sprintf("aa%d:200,%x:100", c.rng.IntN(4), c.rng.Uint32()))
	}
	if a.stream.root != "" {
		if !c.s.anonymous {
			req.Header.Set("Resumes", a.stream.root)
		}
		req.Header.Set("Last-Event-Id", fmt.Sprint(a.stream.events))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		a.err, a.unwritten = err, c.counted && w.unwritten()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
	answer, err := c.readBody(a, resp.Body)
	a.err = err
	if a.status == http.StatusOK {
		a.read(answer, err)
	}
}

// readBody reads a body. Callers that drop streams stop in the middle of some.
func (c *soakCaller) readBody(a *soakAnswer, body io.Reader) ([]byte, error) {
	if a.path == pathResumable && a.stream.root == "" && c.rng.Float64() < c.s.dropShare {
		part := make([]byte, droppedStreamBytes)
		n, err := io.ReadFull(body, part)
		return part[:n], cmp.Or(err, errDropped)
	}
	return io.ReadAll(body)
}

// droppedStreamBytes is how much of a stream a caller reads that drops it: a few events.
const droppedStreamBytes = 150

var errDropped = errors.New("the caller dropped the stream")

// read checks the body of an answer with status 200.
func (a *soakAnswer) read(body []byte, err error) {
	if a.path == pathPay || a.path == pathReads {
		a.complete = err == nil && string(body) == standin.CallBody(a.id)
		if err == nil && !a.complete {
			a.problem = fmt.Sprintf("body %q", body)
		}
		return
	}
	streamErr := a.readEvents(body, errors.Is(err, errDropped))
	switch {
	case streamErr != nil:
		a.problem = streamErr.Error()
	case err == nil && a.events != standin.Events:
		a.problem = fmt.Sprintf("ended without an error after %d events", a.events)
	}
	a.complete = err == nil && a.problem == ""
}

var (
	errEvents   = errors.New("events are missing, duplicated or of another request")
	errVersions = errors.New("events of several versions")
)

// readEvents counts the events of a stream. They must be numbered consecutively from the last one that an
// earlier attempt brought, carry the id, and be of one version. Only a caller that dropped the stream may
// have a part of an event.
func (a *soakAnswer) readEvents(body []byte, dropped bool) error {
	for event := range bytes.SplitAfterSeq(body, []byte("\n\n")) {
		if len(event) == 0 || dropped && !bytes.HasSuffix(event, []byte("\n\n")) {
			return nil
		}
		var number int
		var id, version string
		if _, err := fmt.Sscanf(string(event), "id: %d\ndata: %s %s\n\n", &number, &id, &version); err != nil || number != a.events+1 || id != a.id {
			return fmt.Errorf("%w: %q after %d", errEvents, event, a.events)
		}
		if a.version != "" && a.version != version {
			return fmt.Errorf("%w: %q after %d events of %s", errVersions, event, a.events, a.version)
		}
		a.events, a.version = number, version
	}
	return nil
}
