package gateway

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/catalog"
	"fescuestand/internal/code"
	"fescuestand/internal/policy/bytebudget"
	"fescuestand/internal/policy/ontime"
	"fescuestand/internal/policy/place"
)

// refusal is a final answer that this VM gives itself instead of an endpoint's.
type refusal struct {
	code       code.Code
	reason     string
	retryAfter time.Duration // Retry-After delay, zero for none
	run        code.Run
}

// status is the refusal's HTTP status. A status that tells the caller that the request hasn't run
// is returned only if that is certain.
func (f *refusal) status() int {
	s := f.code.Info().Status
	if f.code == code.CallerGone {
		s = http.StatusServiceUnavailable // the code's own status promises nothing
	}
	if f.run != code.NotRun && promisesNotRun(s) {
		return http.StatusBadGateway
	}
	return s
}

// promisesNotRun reports whether callers conclude from a status that the request hasn't run and
// never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (f *refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	status := f.status()
	if f.retryAfter > 0 && promisesNotRun(status) {
		h.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	body := strconv.Itoa(int(f.code)) + " " + f.code.String() + ": " + f.reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A failed write means that the caller has disconnected.
	_, _ = io.WriteString(w, body)
}

func refuse(c code.Code, reason string) *refusal {
	return &refusal{code: c, reason: reason, run: code.NotRun}
}

// quarantineRetryAfter is the Retry-After delay for a request that is assumed to crash its
// endpoints: the longest delay after which callers retry at all.
const quarantineRetryAfter = 10 * time.Second

// accept reads the request and finds its route. If it refuses the request, the returned call holds
// only what was read from the headers, and is nil if they can't be decoded.
func (g *Gateway) accept(w http.ResponseWriter, r *http.Request, v *catalog.View) (*Call, *catalog.Route, *refusal) {
	c, err := g.o.Codec.Decode(r)
	if v.Config == nil || !g.o.HasRecords() {
		f := refuse(code.NotReady, "the configuration or the records of earlier processes aren't known yet")
		f.retryAfter = ontime.StartingRetryAfter(g.o.Clock.Now().Sub(g.startedAt), rand.Uint64())
		return c, nil, f
	}
	if err != nil {
		return c, nil, refuse(code.BadField, err.Error())
	}
	route := v.Config.Match(c.Host, c.Path)
	if route == nil {
		return c, nil, refuse(code.UnknownPath, "no route of the host matches the path")
	}
	if refused := g.authorize(c, route, v.Config); refused != nil {
		return c, nil, refused
	}
	if limit := v.Config.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		return c, nil, refuse(code.HeaderTooLarge, "the header is longer than the limit")
	}
	if !g.o.Bodies.Admit() {
		return c, nil, g.refuseForBytes(bytebudget.NoRoom, 0)
	}
	if refused := g.readBodyInTime(w, r, v.Config.Limits.BodyBytes, c, route); refused != nil {
		return c, nil, refused
	}
	c.Fingerprint, c.SharedParts = fingerprint(c), sharedParts(c.Parts)
	if err := g.quarantine(c); err != nil {
		f := refuse(code.Quarantined, err.Error())
		f.retryAfter = quarantineRetryAfter
		return c, nil, f
	}
	return c, route, nil
}

// quarantine returns why a request is refused as quarantined, or nil if it isn't. It may make the request a
// trial of its part.
func (g *Gateway) quarantine(c *Call) error {
	now := g.o.Clock.Now()
	if g.o.Crashes.ShouldRefuse(now, c.Fingerprint) {
		return errQuarantined
	}
	part, refuse := g.o.Crashes.RefusedPart(now, c.SharedParts)
	if !refuse {
		return nil
	}
	if g.o.MayTryQuarantined() && g.o.Crashes.TakeTrial(now, part) {
		c.Trial = true
		log.WithField("id", c.ID).WithField("part", formatFingerprint(part)).Info("trial of a quarantined prompt part")
		return nil
	}
	return errPartQuarantined
}

// fingerprint returns a hash that is the same for all retries of a request by its caller. The
// request's id isn't part of it, as it is new for each retry.
func fingerprint(c *Call) uint64 {
	d := xxhash.New()
	// Writes to a hash never fail.
	_, _ = d.WriteString(c.Host + c.Target)
	_, _ = d.Write(c.Body)
	if c.Workspace != nil {
		_, _ = d.WriteString(c.Workspace.Name)
	}
	return d.Sum64()
}

// sharedParts returns the ids of the parts that other requests may have too: all but the last one.
func sharedParts(parts []place.Part) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	out := make([]uint64, 0, len(parts)-1)
	for _, p := range parts[:len(parts)-1] {
		out = append(out, p.ID)
	}
	return out
}

const (
	// bodyGrace is how long a refusal waits for the rest of the request's body. Most bodies arrive with the header.
	bodyGrace = 10 * time.Millisecond
	// bodyLinger is how long the connection is kept after a refusal that didn't wait: closing it resets it as long
	// as the caller sends, and the caller might then not read the refusal.
	bodyLinger = 500 * time.Millisecond
)

// endBody reads the rest of the body of a request that is refused. If it isn't there, the connection is closed after
// the refusal: net/http would wait for the body before it sends an answer. It then reports whether the caller may still
// be sending.
func endBody(w http.ResponseWriter, r *http.Request) (sending bool) {
	if r.ContentLength == 0 || r.ProtoMajor > 1 {
		return false
	}
	rc := http.NewResponseController(w)
	expects := expectsContinue(r)
	if !expects && readRest(rc, r.Body) {
		return false
	}
	w.Header().Set("Connection", "close")
	// A failure means that the connection has been closed.
	_ = rc.SetReadDeadline(time.Now().Add(bodyLinger))
	return !expects
}

// discardBody sends the refusal and drops what still arrives of the request's body, for bodyLinger at most: a caller that
// reads only after it has sent the whole body would otherwise not get the refusal.
func discardBody(w http.ResponseWriter, r *http.Request) {
	if http.NewResponseController(w).Flush() == nil {
		// An error means that the caller has stopped to send.
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// expectsContinue reports whether the caller sends the body only after it has been asked for it.
func expectsContinue(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}

// readRest reads the rest of a body, and reports whether it has ended in time.
func readRest(rc *http.ResponseController, body io.Reader) bool {
	until := time.Now().Add(bodyGrace)
	if rc.SetReadDeadline(until) != nil {
		return false
	}
	_, err := io.CopyN(io.Discard, body, maxDiscardedBytes)
	if rc.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	// A deadline that has passed may also have ended the watch for the caller's disconnection.
	return errors.Is(err, io.EOF) && time.Now().Before(until)
}

// maxDiscardedBytes bounds what is read of the body of a request that is refused.
const maxDiscardedBytes = 64 << 10

// headerBytes returns the length of a request's header fields.
func headerBytes(r *http.Request) int64 {
	const separators = len(": ") + len("\r\n")
	n := len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return int64(n)
}
