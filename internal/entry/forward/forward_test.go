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
	"fescuestand/internal/wire"
)

// network joins fronts by address. Frames pass through memory.
type network struct {
	fronts map[string]*Handler
	fail   map[string]error // of Forward, by address
	cut    bool             // the peer dies after its first frame
	sent   int
}

const maxSent = 50 // ends an endless loop

// Forward implements Peers.
func (n *network) Forward(ctx context.Context, addr string, fwd *wire.Forward) (Frames, error) {
	if err := n.fail[addr]; err != nil {
		return nil, err
	}
	n.sent++
	if n.sent > maxSent {
		return nil, code.New(code.PeerGone, "enough")
	}
	var f frames
	err := n.fronts[addr].Serve(ctx, fwd, func(one *wire.ForwardFrame) error {
		f.list = append(f.list, one)
		return nil
	})
	if n.cut {
		f.list = f.list[:1]
		f.list[0].End = false
	}
	return &f, err
}

type frames struct{ list []*wire.ForwardFrame }

func (f *frames) Next() (*wire.ForwardFrame, error) {
	if len(f.list) == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	one := f.list[0]
	f.list = f.list[1:]
	return one, nil
}

func (f *frames) Close() error { return nil }

func front(n *network, away bool, peers ...string) *Handler {
	return &Handler{
		Next: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b, _ := io.ReadAll(r.Body)
			w.Header().Set("Result-Code", "0")
			_, _ = w.Write([]byte("echo " + string(b) + r.Header.Get("Workspace")))
			_ = http.NewResponseController(w).Flush()
			_, _ = w.Write([]byte(" end"))
		}),
		Peers: n, Leaving: func() bool { return away }, PeerAddresses: func() []string { return peers },
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

func TestLateArrivalIsServedByAPeer(t *testing.T) {
	n := &network{}
	n.fronts = map[string]*Handler{"b": front(n, false)}
	n.fail = map[string]error{"down": code.New(code.PeerGone, "dial")}
	w := post(front(n, true, "down", "b"), false)
	assert.Equal(t, w.Body.String(), "echo body-ws end")
	assert.Equal(t, w.Header().Get("Result-Code"), "0")
}

// Two VMs leave together and are each other's only peer. Without the bound on
// hops a late request goes to and fro between them until its deadline.
func TestLeavingPeersDoNotLoop(t *testing.T) {
	for _, off := range []bool{false, true} {
		n := &network{}
		a, b := front(n, true, "b"), front(n, true, "a")
		a.offHops, b.offHops = off, off
		// With the guard off a VM serves what a peer passes on as a caller's.
		if off {
			a.Next, b.Next = loop(a), loop(b)
		}
		n.fronts = map[string]*Handler{"a": a, "b": b}
		w := post(a, false)
		if off {
			assert.Equal(t, n.sent, maxSent+1)
			continue
		}
		assert.Equal(t, n.sent, 1)
		assert.Equal(t, w.Body.String(), "forward-loop not-run")
		assert.Equal(t, post(a, true).Body.String(), "forward-loop unknown")
	}
}

func loop(f *Handler) http.Handler { return http.HandlerFunc(f.ServeHTTP) }

// A peer may have the request: no other is asked, and its fate is unknown.
func TestMaybeSentIsNotSentAgain(t *testing.T) {
	n := &network{}
	n.fronts = map[string]*Handler{"b": front(n, false)}
	n.fail = map[string]error{"a": code.New(code.PeerGone, "write").WithRun(code.Unknown)}
	w := post(front(n, true, "a", "b"), false)
	assert.Equal(t, w.Body.String(), "peer-gone unknown")
	assert.Equal(t, n.sent, 0)
}

// The peer dies in the middle of its answer. The caller's connection is broken
// off, so that a cut answer can't look whole.
func TestCutAnswerBreaksTheConnection(t *testing.T) {
	n := &network{cut: true}
	n.fronts = map[string]*Handler{"b": front(n, false)}
	defer func() {
		err, _ := recover().(error)
		assert.Assert(t, errors.Is(err, http.ErrAbortHandler))
	}()
	post(front(n, true, "b"), false)
	t.Fatal("the answer looks whole")
}

func TestNoPeerLeft(t *testing.T) {
	w := post(front(&network{}, true), false)
	assert.Equal(t, w.Body.String(), "leaving not-run")
}
