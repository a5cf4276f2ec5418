package gateway

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/catalog"
	"fescuestand/internal/code"
	"fescuestand/internal/policy/ontime"
)

// refusal is a final answer of this VM's own.
type refusal struct {
	code  code.Code
	why   string
	again time.Duration // when to come back, zero for no advice
	run   code.Run
}

// status is the refusal's HTTP status. Statuses that promise a request hasn't
// run are given only where that is certain.
func (f *refusal) status() int {
	s := f.code.Info().Status
	if f.run != code.NotRun && promises(s) {
		return http.StatusBadGateway
	}
	return s
}

// promises tells whether callers take a status for the promise that the request
// has not run and never will.
func promises(status int) bool {
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
	if f.again > 0 && promises(status) {
		h.Set("Retry-After", strconv.FormatFloat(f.again.Seconds(), 'f', 3, 64))
	}
	body := strconv.Itoa(int(f.code)) + " " + f.code.String() + ": " + f.why + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A caller that has gone needs no answer.
	_, _ = io.WriteString(w, body)
}

func refuse(c code.Code, why string) *refusal {
	return &refusal{code: c, why: why, run: code.NotRun}
}

// quarantineAgain is when to come back with a request that is believed to crash
// its endpoints: as late as callers come back at all.
const quarantineAgain = 10 * time.Second

// accept reads the request and finds its route. The call of a request that is
// refused says no more than its headers; it is nil if they can't be read.
func (g *Gateway) accept(w http.ResponseWriter, r *http.Request, v *catalog.View) (*Call, *catalog.Route, *refusal) {
	c, err := g.o.Codec.Decode(r)
	if v.Config == nil {
		f := refuse(code.NotReady, "no configuration is known yet")
		f.again = ontime.StartingRetryAfter(g.o.Clock.Now().Sub(g.started), rand.Uint64())
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
	body, refused := readBody(w, r, v.Config.MaxBody)
	if refused != nil {
		return c, nil, refused
	}
	c.Body = body
	c.Fingerprint = fingerprint(c)
	if g.o.Crashes.ShouldRefuse(g.o.Clock.Now(), c.Fingerprint) {
		f := refuse(code.Quarantined, "endpoints broke off while they ran this request")
		f.again = quarantineAgain
		return c, nil, f
	}
	return c, route, nil
}

// fingerprint is what a request has in common with its repeats: its id is new
// each time.
func fingerprint(c *Call) uint64 {
	d := xxhash.New()
	// A hash takes every write.
	_, _ = d.WriteString(c.Host + c.Target)
	_, _ = d.Write(c.Body)
	return d.Sum64()
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *refusal) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	rd := r.Body
	if limit > 0 {
		rd = http.MaxBytesReader(w, r.Body, limit)
	}
	var body []byte
	var err error
	if n := r.ContentLength; n > 0 && (limit <= 0 || n <= limit) {
		body = make([]byte, n)
		_, err = io.ReadFull(rd, body)
		if err == nil {
			// The end of the body must be seen for the server to notice
			// that the caller closes its connection.
			_, err = rd.Read(make([]byte, 1))
			if errors.Is(err, io.EOF) {
				err = nil
			}
		}
	} else {
		body, err = io.ReadAll(rd)
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, refuse(code.BodyTooLarge, "the body is longer than the limit")
	case err != nil:
		return nil, refuse(code.SlowSender, "the body didn't arrive whole")
	}
	return body, nil
}
