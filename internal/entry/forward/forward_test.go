package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/code"
	"fescuestand/internal/httpserver"
	"fescuestand/internal/wire"
)

// network connects handlers by address, in memory.
type network struct {
	handlers    map[string]*Handler
	errs        map[string]error // returned by Forward, by address
	interrupted bool             // the peer fails after its first frame
	sent        int
}

const maxForwards = 50 // ends a forwarding loop

// Forward implements Peers.
func (n *network) Forward(ctx context.Context, addr string, fwd *wire.Forward) (Frames, error) {
	if err := n.errs[addr]; err != nil {
		return nil, err
	}
	n.sent++
	if n.sent > maxForwards {
		return nil, code.New(code.PeerGone, "enough")
	}
	var answer frames
	err := n.handlers[addr].Serve(ctx, fwd, func(frame *wire.ForwardFrame) error {
		answer.list = append(answer.list, frame)
		return nil
	})
	if n.interrupted {
		answer.list = answer.list[:1]
		answer.list[0].End = false
	}
	return &answer, err
}

type frames struct{ list []*wire.ForwardFrame }

func (f *frames) Next() (*wire.ForwardFrame, error) {
	if len(f.list) == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	frame := f.list[0]
	f.list = f.list[1:]
	return frame, nil
}

func (f *frames) Close() error { return nil }

func newHandler(n *network, leaving bool, peers ...string) *Handler {
	return &Handler{
		Next: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b, _ := io.ReadAll(r.Body)
			w.Header().Set("Result-Code", "0")
			_, _ = w.Write([]byte("echo " + string(b) + r.Header.Get("Workspace")))
			_ = http.NewResponseController(w).Flush()
			_, _ = w.Write([]byte(" end"))
		}),
		Peers: n, Leaving: func() bool { return leaving }, PeerAddresses: func() []string { return peers },
		Refuse: func(w http.ResponseWriter, _ *http.Request, err error) {
			w.WriteHeader(code.Of(err).Code.Info().Status)
			_, _ = w.Write([]byte(code.Of(err).Code.String() + " " + string(code.Of(err).Run)))
		},
	}
}

func post(f *Handler, resend bool) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/v1/generate", strings.NewReader("body"))
	r.Header.Set("Workspace", "-ws")
	if resend {
		r.Header.Set("Resend", "1")
	}
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r)
	return w
}

func TestRequestToLeavingVMIsServedByPeer(t *testing.T) {
	n := &network{}
	n.handlers = map[string]*Handler{"b": newHandler(n, false)}
	n.errs = map[string]error{"down": code.New(code.PeerGone, "dial")}
	w := post(newHandler(n, true, "down", "b"), false)
	assert.Equal(t, w.Body.String(), "echo body-ws end")
	assert.Equal(t, w.Header().Get("Result-Code"), "0")
}

// Two VMs leave together and are each other's only peer. Without the hop limit, a request is
// forwarded back and forth between them until its deadline.
func TestLeavingPeersDoNotLoop(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		n := &network{}
		a, b := newHandler(n, true, "b"), newHandler(n, true, "a")
		a.hopLimitDisabled, b.hopLimitDisabled = disabled, disabled
		// With the guard disabled, a VM handles a forwarded request like one from a caller.
		if disabled {
			a.Next, b.Next = serveAsCaller(a), serveAsCaller(b)
		}
		n.handlers = map[string]*Handler{"a": a, "b": b}
		w := post(a, false)
		if disabled {
			assert.Equal(t, n.sent, maxForwards+1)
			continue
		}
		assert.Equal(t, n.sent, 1)
		assert.Equal(t, w.Body.String(), "forward-loop not-run")
		assert.Equal(t, post(a, true).Body.String(), "forward-loop unknown")
	}
}

func serveAsCaller(f *Handler) http.Handler { return http.HandlerFunc(f.ServeHTTP) }

// Forwarding fails after a peer may have received the request. It must not be sent to another peer,
// and its outcome is reported as unknown.
func TestNoSecondPeerAfterPossibleDelivery(t *testing.T) {
	n := &network{}
	n.handlers = map[string]*Handler{"b": newHandler(n, false)}
	n.errs = map[string]error{"a": code.New(code.PeerGone, "write").WithRun(code.Unknown)}
	w := post(newHandler(n, true, "a", "b"), false)
	assert.Equal(t, w.Body.String(), "peer-gone unknown")
	assert.Equal(t, n.sent, 0)
}

// The peer fails in the middle of its answer. The caller's connection must be aborted, so that a
// truncated answer can't be taken for a complete one.
func TestTruncatedAnswerAbortsConnection(t *testing.T) {
	n := &network{interrupted: true}
	n.handlers = map[string]*Handler{"b": newHandler(n, false)}
	defer func() {
		err, _ := recover().(error)
		assert.Assert(t, errors.Is(err, http.ErrAbortHandler))
	}()
	post(newHandler(n, true, "b"), false)
	t.Fatal("the truncated answer was not aborted")
}

func TestNoPeerAvailable(t *testing.T) {
	w := post(newHandler(&network{}, true), false)
	assert.Equal(t, w.Body.String(), "leaving not-run")
}

// Guards against a forwarded request whose handler gives no answer, or fails, and that counts as a success or ends the process.
func TestForwardedRequestWithoutAnAnswerIsNoSuccess(t *testing.T) {
	for name, next := range map[string]http.HandlerFunc{
		"no answer": func(http.ResponseWriter, *http.Request) {},
		"aborted":   func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"fault":     func(http.ResponseWriter, *http.Request) { panic("fault") },
	} {
		n := &network{}
		b := newHandler(n, false)
		b.Next = next
		b.Forwarded = httpserver.New(next, &http.Server{}, httpserver.Options{Refuse: func(w http.ResponseWriter, r *http.Request) {
			b.Refuse(w, r, code.New(code.Internal, "fault").WithRun(code.Unknown))
		}})
		n.handlers = map[string]*Handler{"b": b}
		w := post(newHandler(n, true, "b"), false)
		assert.Assert(t, w.Code >= http.StatusInternalServerError, "%s: %d", name, w.Code)
		assert.Assert(t, strings.HasSuffix(w.Body.String(), " unknown"), "%s: %s", name, w.Body)
	}
}

// Guards against a peer's answer without a status, which made the handler panic.
func TestPeersAnswerNeedsAStatus(t *testing.T) {
	for _, status := range []uint32{0, 99, 1000} {
		p := answeringPeer{&frames{list: []*wire.ForwardFrame{{Status: status, End: true}}}}
		f := newHandler(&network{}, true, "b")
		f.Peers = p
		assert.Equal(t, post(f, false).Body.String(), "peer-gone unknown")
	}
}

// answeringPeer gives the same answer to each request.
type answeringPeer struct{ *frames }

// Forward implements Peers.
func (p answeringPeer) Forward(context.Context, string, *wire.Forward) (Frames, error) {
	return p.frames, nil
}
