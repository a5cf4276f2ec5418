// Package forward forwards requests that arrive at a draining VM to a peer, and serves the requests
// that peers forward.
//
// Callers cache an address for a while after its VM has begun to leave. The VM could refuse their
// requests, which would cost the callers a retry; forwarding them saves that time. A request is
// forwarded at most once, so that VMs that leave together can't pass it back and forth.
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
	"fescuestand/internal/httpserver"
	"fescuestand/internal/peer"
	"fescuestand/internal/wire"
)

const (
	// maxPeersTried is how many peers are tried before the request is refused.
	maxPeersTried = 3
	// maxBodyBytes bounds the body of a forwarded request, which the peer protocol sends as part of
	// one bounded message.
	maxBodyBytes = peer.MaxMessageBytes - 64<<10
	// maxStatus is the highest status of an answer.
	maxStatus = 599
	// bodyTimeout is how long a caller may take to send the body.
	bodyTimeout = 8 * time.Second
)

// Frames is the answer of a peer, read frame by frame.
type Frames interface {
	Next() (*wire.ForwardFrame, error)
	Close() error
}

// Peers forwards one request to the peer at addr.
type Peers interface {
	Forward(ctx context.Context, addr string, fwd *wire.Forward) (Frames, error)
}

// Handler wraps the handler of the caller interface. While this VM is leaving, it forwards POST
// requests to a peer; otherwise it passes every request to Next.
type Handler struct {
	Next http.Handler
	// Forwarded serves the requests that peers have forwarded. It panics with http.ErrAbortHandler if one
	// ends without a whole answer. Nil means Next.
	Forwarded http.Handler
	Peers     Peers
	// Leaving reports whether this VM accepts no new work.
	Leaving func() bool
	// PeerAddresses returns the peer addresses to try, best first.
	PeerAddresses func() []string
	// Refuse writes a refusal with a result code.
	Refuse func(w http.ResponseWriter, r *http.Request, err error)

	hopLimitDisabled bool // forward forwarded requests again, so that a test can show the loop
}

// ServeHTTP implements http.Handler.
func (f *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || !f.Leaving() {
		f.Next.ServeHTTP(w, r)
		return
	}
	if err := f.forwardToPeer(w, r); err != nil {
		f.Refuse(w, r, callerapi.MarkResendUnknown(r, err))
	}
}

// forwardToPeer forwards the request to the first peer that takes it. It returns an error if
// nothing was written to the caller.
func (f *Handler) forwardToPeer(w http.ResponseWriter, r *http.Request) error {
	fwd, refusal := encodeRequest(w, r)
	if refusal != nil {
		return refusal
	}
	addrs := f.PeerAddresses()
	var lastErr error
	for _, addr := range addrs[:min(len(addrs), maxPeersTried)] {
		sent, err := f.tryPeer(w, r, addr, fwd)
		if err == nil || sent {
			return err
		}
		lastErr = err
	}
	return code.Wrap(code.Leaving, lastErr, "this VM is leaving and no peer took the request").WithRetryAfter(time.Millisecond)
}

// encodeRequest reads the whole request into a message, as it may be sent to several peers.
func encodeRequest(w http.ResponseWriter, r *http.Request) (*wire.Forward, *code.Error) {
	if r.ContentLength > maxBodyBytes {
		return nil, code.New(code.BodyTooLarge, "%d bytes", r.ContentLength)
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(httpserver.LimitBody(w, r.Body, maxBodyBytes))
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

// tryPeer sends the request to one peer and copies the answer to the caller. sent reports that the
// peer may have received the request, so that it must not be sent to another one.
func (f *Handler) tryPeer(w http.ResponseWriter, r *http.Request, addr string, fwd *wire.Forward) (sent bool, err error) {
	frames, err := f.Peers.Forward(r.Context(), addr, fwd)
	if err != nil {
		return code.Of(err).Run != code.NotRun, err
	}
	defer func() { _ = frames.Close() }()
	first, err := frames.Next()
	if err != nil && code.Of(err).Run == code.NotRun {
		return false, err
	}
	if err != nil {
		return true, code.Wrap(code.PeerGone, err, "the peer that took the request is gone").WithRun(code.Unknown)
	}
	if s := first.GetStatus(); s < http.StatusOK || s > maxStatus {
		return true, code.New(code.PeerGone, "the peer's answer has the status %d", s).WithRun(code.Unknown)
	}
	for _, h := range first.GetHeaders() {
		w.Header().Add(h.GetName(), h.GetValue())
	}
	w.WriteHeader(int(first.GetStatus()))
	if err := copyFrames(w, first, frames); err != nil {
		log.WithError(err).WithField("peer", addr).Warn("forwarded answer interrupted")
		// Aborting the connection shows the caller that the answer is incomplete.
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

// ErrLoop is the reason for refusing a request that was forwarded before.
var ErrLoop = errors.New("passed on once already")
