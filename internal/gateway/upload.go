package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/httpserver"
	"fescuestand/internal/policy/bytebudget"
)

const (
	// minBodyBytes is the first buffer for a body whose length isn't stated.
	minBodyBytes = 4 << 10
	// minBytesRetryAfter and maxBytesRetryAfter bound the Retry-After delay of a request that is refused as bodies
	// take the memory for them. A body of a few MB takes the shortest on a link of 100 Mbit/s.
	minBytesRetryAfter, maxBytesRetryAfter = 500 * time.Millisecond, 5 * time.Second
)

// bodyClaim is what a request's body has taken from the VM's byte budget.
type bodyClaim struct {
	bytebudget.Claim
	clock clock.Clock
	since clock.Time
}

func (g *Gateway) newBodyClaim(c *Call, route *catalog.Route) *bodyClaim {
	workspace := ""
	if c.Workspace != nil {
		workspace = c.Workspace.Name
	}
	return &bodyClaim{Claim: g.o.Bodies.NewClaim(route.Name, workspace), clock: g.o.Clock, since: g.o.Clock.Now()}
}

// releaseBody drops the body and gives back what it has taken.
func (c *Call) releaseBody() {
	c.Body = nil
	if c.claim != nil {
		c.claim.End(c.claim.clock.Now().Sub(c.claim.since))
	}
}

// refuseForBytes returns the refusal of a request whose body of at least size bytes gets none.
func (g *Gateway) refuseForBytes(v bytebudget.Verdict, size int64) *refusal {
	f := refuse(code.BodyBudgetSpent, "the bodies of other requests and answers take the memory for them")
	if v == bytebudget.OverShare {
		f.reason = "other bodies of the route or the workspace take its share of the memory for them"
	}
	f.retryAfter = g.bytesRetryAfter(size)
	g.bytesRefused.record(g)
	if g.o.OnBytesRefused != nil {
		g.o.OnBytesRefused()
	}
	return f
}

// bytesRetryAfter returns the Retry-After delay of a request whose body of at least size bytes gets none. Callers with
// large bodies come back spread over the time for which such bodies are held at present.
func (g *Gateway) bytesRetryAfter(size int64) time.Duration {
	delay := minBytesRetryAfter
	if size >= bytebudget.LargeBytes {
		delay = min(max(g.o.Bodies.MeanHold()/2, delay), maxBytesRetryAfter/2)
	}
	return delay + rand.N(delay)
}

const (
	// maxBodyPause is the time that a caller may take between two parts of a body.
	maxBodyPause = 5 * time.Second
	// minBodyProgress is what must arrive of a large body in that time.
	minBodyProgress = 32 << 10
	// maxSmallBodyTime is the time that a body may take which isn't large: at the same pace, the largest one takes that.
	maxSmallBodyTime = maxBodyPause * bytebudget.LargeBytes / minBodyProgress
)

// timedBody is a request's body that its caller must send in time.
type timedBody struct {
	io.ReadCloser
	rc    *http.ResponseController
	until time.Time // zero for no limit but those of pauses and of the pace
	large bool      // it is large, or as much of it has been read
	began time.Time

	read       int64
	marked     int64 // of read, when progress was made last
	progressBy time.Time

	mu    sync.Mutex
	ended bool // the shutdown has ended it
	done  bool // it isn't read any more
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	by := b.deadline(time.Now())
	if err := b.setDeadline(by); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, err
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if err != nil && !errors.Is(err, io.EOF) && (b.isEnded() || !time.Now().Before(by)) {
		// net/http reports a trailer that it waits for in vain as an invalid one.
		err = os.ErrDeadlineExceeded
	}
	return n, err
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

func (b *timedBody) setDeadline(t time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		t = longAgo
	}
	return b.rc.SetReadDeadline(t)
}

// endForShutdown ends a read of the body, unless it is done.
func (b *timedBody) endForShutdown() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.done {
		return
	}
	b.ended = true
	// A failure means that the connection has been closed, which the read notices.
	_ = b.rc.SetReadDeadline(longAgo)
}

func (b *timedBody) isEnded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}

// finish removes the deadline.
func (b *timedBody) finish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.done = true
	// A failure means that the connection has been closed, which the call notices.
	_ = b.rc.SetReadDeadline(time.Time{})
}

func (b *timedBody) deadline(now time.Time) time.Time {
	if b.progressBy.IsZero() || !b.large || b.read-b.marked >= minBodyProgress {
		b.marked, b.progressBy = b.read, now.Add(maxBodyPause)
	}
	b.large = b.large || b.read >= bytebudget.LargeBytes
	by := b.progressBy
	if whole := b.began.Add(maxSmallBodyTime); !b.large && whole.Before(by) {
		by = whole
	}
	if !b.until.IsZero() && b.until.Before(by) {
		by = b.until
	}
	return by
}

// readBodyInTime reads the body of a call, which must arrive within the caller's timeout, if that isn't zero.
func (g *Gateway) readBodyInTime(w http.ResponseWriter, r *http.Request, limit int64, c *Call, route *catalog.Route) *refusal {
	if r.ContentLength == 0 {
		return nil
	}
	c.claim = g.newBodyClaim(c, route)
	body := &timedBody{ReadCloser: r.Body, rc: http.NewResponseController(w), large: r.ContentLength >= bytebudget.LargeBytes, began: time.Now()}
	if c.CallerTimeout > 0 {
		body.until = time.Now().Add(c.CallerTimeout)
	}
	stop := context.AfterFunc(g.lastAnswers, body.endForShutdown)
	defer stop()
	r.Body = body
	refused := g.readBody(w, r, limit, c)
	r.Body = body.ReadCloser
	body.finish()
	if refused != nil && refused.code == code.SlowSender && body.isEnded() {
		refused = refuse(code.Leaving, errShutdownEnds.Error())
		refused.retryAfter = g.retryAfterShutdown()
	}
	return refused
}

// errNoBytes means that the byte budget has refused a body of at least size bytes.
type errNoBytes struct {
	verdict bytebudget.Verdict
	size    int64
}

func (errNoBytes) Error() string { return "the byte budget is spent" }

// readBody reads the body of a request. What it takes is taken from the byte budget before.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, limit int64, c *Call) *refusal {
	most := limit
	if most <= 0 {
		most = g.o.Bodies.MaxRequest()
	}
	if r.ContentLength > most {
		return refuse(code.BodyTooLarge, "the body is longer than the limit")
	}
	rd := httpserver.LimitBody(w, r.Body, most)
	var err error
	if n := r.ContentLength; n > 0 {
		c.Body, err = readKnown(rd, n, c.claim)
	} else {
		c.Body, err = readUnknown(rd, most, c.claim)
	}
	var large *http.MaxBytesError
	var noBytes errNoBytes
	switch {
	case errors.As(err, &noBytes):
		return g.refuseForBytes(noBytes.verdict, noBytes.size)
	case errors.As(err, &large):
		return refuse(code.BodyTooLarge, "the body is longer than the limit")
	case err != nil && isInvalidFraming(err):
		return refuse(code.BadField, "the framing of the body is invalid")
	case err != nil:
		return refuse(code.SlowSender, "the body didn't arrive whole")
	}
	return nil
}

// readKnown reads a body of n bytes.
func readKnown(rd io.Reader, n int64, claim *bodyClaim) ([]byte, error) {
	if v := claim.Take(n, n); v != bytebudget.Granted {
		return nil, errNoBytes{v, n}
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(rd, body); err != nil {
		return nil, err
	}
	// net/http detects that the caller closes its connection only after the body has been read to EOF.
	if _, err := rd.Read(make([]byte, 1)); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return body, nil
}

// readUnknown reads a body of at most limit bytes whose length isn't known. The buffer grows by copying, so that the
// body is held in one piece.
func readUnknown(rd io.Reader, limit int64, claim *bodyClaim) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			var err error
			if body, err = grow(body, limit+1, claim); err != nil {
				return nil, err
			}
		}
		n, err := rd.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow returns body in a buffer of twice its size, or of limit bytes if no more than one would be missing.
func grow(body []byte, limit int64, claim *bodyClaim) ([]byte, error) {
	held := int64(cap(body))
	n := max(2*held, minBodyBytes)
	if n >= limit-1 {
		n = max(limit, minBodyBytes)
	}
	if v := claim.Take(n, n); v != bytebudget.Granted {
		return nil, errNoBytes{v, n}
	}
	larger := make([]byte, len(body), n)
	copy(larger, body)
	claim.Give(held)
	return larger, nil
}

// isInvalidFraming reports whether a body couldn't be read for what the caller has sent, not for what it hasn't.
func isInvalidFraming(err error) bool {
	var network net.Error
	return !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) && !errors.As(err, &network)
}

// beginUpload counts the body against the share of an endpoint, or of another VM, that it is about to be sent to.
func (x *execution) beginUpload(id string) (bytebudget.Send, result, bool) {
	s, ok := x.g.o.Bodies.BeginSend(id, int64(len(x.call.Body)), len(x.openEndpoints()) <= 1)
	if !ok {
		x.shareDenials++
		return s, result{outcome: notSent, code: code.BodyBudgetSpent, err: errEndpointShare, retryAfter: x.g.bytesRetryAfter(int64(len(x.call.Body)))}, false
	}
	return s, result{}, true
}
