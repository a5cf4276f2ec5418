package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/code"
	"fescuestand/internal/kernel"
	"fescuestand/internal/standin/engine"
	"fescuestand/internal/standin/readgate"
)

// provisioned is a kernel unit that is provisioned after the Unit.
type provisioned struct{ hook func() }

func (p provisioned) Name() string { return "provisioned" }

func (p provisioned) Provision(context.Context) error {
	if p.hook != nil {
		p.hook()
	}
	return nil
}

const (
	// sentBeforeEnd is how long before the end of the linger a request arrives, and heldAfterEnd how long
	// after it the process goes on with it.
	sentBeforeEnd = 300 * time.Millisecond
	heldAfterEnd  = 500 * time.Millisecond
	maxAnswerTime = 5 * time.Second
)

// newGatedEntry returns a deployment of one VM whose connections of callers pass a gate.
func newGatedEntry(t *testing.T) (*cluster, *readgate.Gate) {
	t.Helper()
	gate := readgate.New()
	cl := newCluster(t, clusterConfig{entries: 1, engines: []engine.Config{fastEngine()}, onProvisioned: func(u *Unit) { u.callerLn = gate.Listen(u.callerLn) }})
	return cl, gate
}

// drainBeside asks the only VM to stop, and has it go on with the request that send sends only when its
// linger has ended.
func (cl *cluster) drainBeside(gate *readgate.Gate, send func()) {
	cl.entries[0].terminate()
	time.Sleep(drainLinger - sentBeforeEnd)
	gate.Arm()
	send()
	<-gate.Reached
	time.AfterFunc(sentBeforeEnd+heldAfterEnd, gate.Open)
}

const getAddresses = "GET /v1/addresses HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against a drain that ends while a request has been read but not handled yet.
func TestDrainAnswersARequestThatHasBeenRead(t *testing.T) {
	cl, gate := newGatedEntry(t)
	c, err := net.Dial("tcp", cl.entries[0].addr)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	answers := bufio.NewReader(c)
	exchange := func() error {
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(maxAnswerTime)))
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	send := func() {
		_, err := io.WriteString(c, getAddresses)
		assert.NilError(t, err)
	}
	send()
	assert.NilError(t, exchange())
	cl.drainBeside(gate, send)
	assert.NilError(t, exchange())
	assert.NilError(t, <-cl.entries[0].done)
}

// Guards against a drain that closes a connection of HTTP/2 without telling the caller which request isn't handled.
func TestDrainOfHTTP2TellsWhichRequestsAreNotHandled(t *testing.T) {
	cl, gate := newGatedEntry(t)
	var only2 http.Protocols
	only2.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: &only2}}
	defer client.CloseIdleConnections()
	post := func() error {
		resp, err := client.Post("http://"+cl.entries[0].addr+"/v1/services/lantern/balance", "application/json", strings.NewReader("{}"))
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	assert.NilError(t, post())
	answered := make(chan error, 1)
	cl.drainBeside(gate, func() { go func() { answered <- post() }() })
	err := <-answered
	var op *net.OpError
	isRefused := errors.As(err, &op) && op.Op == "dial" // it was to be sent again, and the only VM has ended
	assert.Assert(t, err == nil || isRefused, "%v", err)
	assert.NilError(t, <-cl.entries[0].done)
}

// Guards against requests that are in progress as a drain times out and end without an answer.
func TestRequestsInProgressAreAnsweredBeforeADrainTimesOut(t *testing.T) {
	slow := engine.Config{DecodeStep: 100 * time.Millisecond, MaxBatch: 1}
	cl := newCluster(t, clusterConfig{entries: 1, engines: []engine.Config{slow}, drainTimeout: drainLinger + heldAfterEnd})
	cl.fault(cl.services[0], `{"name":"late","count":2,"delay":"6s"}`)
	addr := cl.entries[0].addr
	type result struct {
		a   *answer
		err error
	}
	send := func(f func() (*answer, error)) <-chan result {
		out := make(chan result, 1)
		go func() {
			a, err := f()
			out <- result{a, err}
		}()
		time.Sleep(sentBeforeEnd) // the engine serves the streams in this order
		return out
	}
	sent := map[string]<-chan result{}
	sent["commit"] = send(func() (*answer, error) { return cl.topup(addr, "k", "{}", false, time.Now()) })
	sent["lookup"] = send(func() (*answer, error) {
		return cl.post(cl.ctx, addr, "/v1/services/lantern/balance", "{}", nil)
	})
	sent["begun stream"] = send(func() (*answer, error) { return cl.generate(addr, "a", 60) })
	sent["waiting stream"] = send(func() (*answer, error) { return cl.generate(addr, "b", 10) })
	cl.entries[0].terminate()
	for kind, want := range map[string]struct {
		code code.Code
		run  code.Run
	}{
		"commit":         {code.CommitRunning, code.Unknown},
		"lookup":         {code.Leaving, code.Unknown},
		"begun stream":   {code.Leaving, code.Ran},
		"waiting stream": {code.Leaving, code.Unknown}, // in the engine's queue
	} {
		r := <-sent[kind]
		if assert.Check(t, r.err, kind) {
			assert.Check(t, !r.a.complete && r.a.refusal.Code == int(want.code) && r.a.refusal.Run == string(want.run), "%s: %+v", kind, r.a)
		}
	}
	assert.ErrorIs(t, <-cl.entries[0].done, kernel.ErrDrainTimeout)
}
