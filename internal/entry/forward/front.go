// Package forward passes requests that arrive on a leaving VM on to a peer,
// once, and serves those that peers pass on.
//
// Callers keep an address for a while after its VM has begun to leave. Refusing
// them all would lose nothing but time; passing them on loses not even that.
package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/code"
	"fescuestand/internal/entry/callerapi"
	"fescuestand/internal/peer"
	"fescuestand/internal/wire"
)

const (
	// maxPeers is how many peers are tried before a late arrival is refused.
	maxPeers = 3
	// maxBody bounds the body of a forwarded request; the peer's protocol
	// bounds the whole message.
	maxBody = peer.MaxMessage - 64<<10
	// bodyTime is how long a caller may take to send the body.
	bodyTime = 8 * time.Second
)

// Frames is the answer of a peer.
type Frames interface {
	Next() (*wire.ForwardFrame, error)
	Close() error
}

// Peers passes one request on.
type Peers interface {
	Forward(ctx context.Context, addr string, fwd *wire.Forward) (Frames, error)
}

// Handler is the handler that callers meet first.
type Handler struct {
	Next  http.Handler
	Peers Peers
	// Leaving tells whether this VM takes no new work.
	Leaving func() bool
	// PeerAddresses returns the peer addresses to try, best first.
	PeerAddresses func() []string
	// Refuse writes a numbered refusal.
	Refuse func(w http.ResponseWriter, r *http.Request, err error)

	offHops bool // pass on what was passed on before, so that a test shows the loop
}

// ServeHTTP implements http.Handler.
func (f *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || !f.Leaving() {
		f.Next.ServeHTTP(w, r)
		return
	}
	if err := f.passOn(w, r); err != nil {
		f.Refuse(w, r, callerapi.MarkResendUnknown(r, err))
	}
}

// passOn returns an error if nothing was written to the caller.
func (f *Handler) passOn(w http.ResponseWriter, r *http.Request) error {
	fwd, bad := message(w, r)
	if bad != nil {
		return bad
	}
	addrs := f.PeerAddresses()
	var last error
	for _, addr := range addrs[:min(len(addrs), maxPeers)] {
		sent, err := f.try(w, r, addr, fwd)
		if err == nil || sent {
			return err
		}
		last = err
	}
	return code.Wrap(code.Leaving, last, "this VM is leaving and no peer took the request").WithRetryAfter(time.Millisecond)
}

// message reads the request whole: it may have to be offered to several peers.
func message(w http.ResponseWriter, r *http.Request) (*wire.Forward, *code.Error) {
	if r.ContentLength > maxBody {
		return nil, code.New(code.BodyTooLarge, "%d bytes", r.ContentLength)
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTime))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		w.Header().Set("Connection", "close")
		return nil, code.Wrap(code.SlowSender, err, "reading the body")
	}
	_ = rc.SetReadDeadline(time.Time{})
	fwd := &wire.Forward{Method: r.Method, Path: r.URL.RequestURI(), Body: body, Hops: 1}
	for name, values := range r.Header {
		for _, v := range values {
			fwd.Headers = append(fwd.Headers, &wire.Header{Name: name, Value: v})
		}
	}
	fwd.DeadlineMs, _ = strconv.ParseInt(r.Header.Get(callerapi.HeaderDeadline), 10, 64)
	return fwd, nil
}

// try offers the request to one peer. sent says that the peer may have it, so
// that no other may be asked.
func (f *Handler) try(w http.ResponseWriter, r *http.Request, addr string, fwd *wire.Forward) (sent bool, err error) {
	frames, err := f.Peers.Forward(r.Context(), addr, fwd)
	if err != nil {
		return code.Of(err).Run != code.NotRun, err
	}
	defer func() { _ = frames.Close() }()
	first, err := frames.Next()
	if err != nil {
		return true, code.Wrap(code.PeerGone, err, "the peer that took the request is gone").WithRun(code.Unknown)
	}
	for _, h := range first.GetHeaders() {
		w.Header().Add(h.GetName(), h.GetValue())
	}
	w.WriteHeader(int(first.GetStatus()))
	if err := copyFrames(w, first, frames); err != nil {
		log.WithError(err).WithField("peer", addr).Warn("forwarded answer cut")
		// The caller must see that the answer isn't whole.
		panic(http.ErrAbortHandler)
	}
	return true, nil
}

func copyFrames(w http.ResponseWriter, frame *wire.ForwardFrame, frames Frames) error {
	rc := http.NewResponseController(w)
	for {
		if len(frame.GetData()) > 0 {
			if _, err := w.Write(frame.GetData()); err != nil {
				return err
			}
			if err := rc.Flush(); err != nil {
				return err
			}
		}
		if frame.GetEnd() {
			return nil
		}
		var err error
		if frame, err = frames.Next(); err != nil {
			return err
		}
	}
}

// ErrLoop is the refusal of a request that was passed on before.
var ErrLoop = errors.New("passed on once already")
