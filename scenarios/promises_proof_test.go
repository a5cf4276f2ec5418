package scenarios

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/platform/standin"
)

// Guards against checks of promises that can't fail: each case creates by hand what callers and endpoints observe of one
// broken promise, and the check has to report it.
func TestChecksOfPromisesCanFail(t *testing.T) {
	now := time.Now()
	closed := &soakAnswer{path: pathPay, err: io.EOF}
	for name, tc := range map[string]struct {
		answer  soakAnswer
		runs    int
		closing bool // the VM closed its idle connections
		want    string
	}{
		"whole":                       {soakAnswer{path: pathPay, status: 200, complete: true}, 1, false, ""},
		"failed":                      {soakAnswer{path: pathPay, status: 502}, 1, false, ""},
		"refused":                     {soakAnswer{path: pathPay, status: 503}, 0, false, ""},
		"refused, may run again":      {soakAnswer{path: pathReads, status: 503}, 1, false, ""},
		"refused, resumable":          {soakAnswer{path: pathResumable, status: 503}, 2, false, ""},
		"dropped by its caller":       {soakAnswer{path: pathOnce, status: 200, err: errDropped}, 1, false, ""},
		"left by its caller":          {soakAnswer{path: pathPay, err: context.DeadlineExceeded}, 1, false, ""},
		"ended as its time was over":  {soakAnswer{path: pathOnce, status: 200, err: io.ErrUnexpectedEOF, answered: now.Add(callerTimeout)}, 1, false, ""},
		"sent as the VM closed":       {*closed, 0, true, ""},
		"run twice":                   {soakAnswer{path: pathPay, status: 502}, 2, false, "TWICE: p ran 2 times"},
		"a stream run twice":          {soakAnswer{path: pathOnce, status: 200, complete: true}, 2, false, "TWICE: p ran 2 times"},
		"503 and run":                 {soakAnswer{path: pathPay, status: 503}, 1, false, "answered 503 and run"},
		"429 and run":                 {soakAnswer{path: pathPay, status: 429}, 1, false, "answered 429 and run"},
		"408 and run":                 {soakAnswer{path: pathOnce, status: 408}, 1, false, "answered 408 and run"},
		"421 and run":                 {soakAnswer{path: pathOnce, status: 421}, 1, false, "answered 421 and run"},
		"events missing":              {soakAnswer{path: pathOnce, status: 200, problem: "events are missing"}, 1, false, "ORDER: p /once/"},
		"closed without an answer":    {*closed, 0, false, "LOST: p /pay/"},
		"closed as the VM closed":     {*closed, 1, true, "LOST: p /pay/"},
		"reset by a process":          {soakAnswer{path: pathReads, err: errors.New("connection reset by peer")}, 0, true, "LOST: p /reads/"},
		"an answer that ends early":   {soakAnswer{path: pathOnce, status: http.StatusOK, err: io.ErrUnexpectedEOF}, 1, false, "LOST: p /once/"},
		"an answer that ends in time": {soakAnswer{path: pathOnce, status: 200, err: io.ErrUnexpectedEOF, answered: now.Add(callerTimeout - time.Millisecond)}, 1, false, "LOST: p /once/"},
		"a resumable that ends early": {soakAnswer{path: pathResumable, status: http.StatusOK, err: io.ErrUnexpectedEOF}, 1, false, "LOST: p /resumable/"},
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "log")
			log := ""
			if tc.closing {
				log = "timestamp=" + now.UTC().Format(time.RFC3339Nano) + " level=info message=\"server drained\" server=front whole=true\n"
			}
			assert.NilError(t, os.WriteFile(file, []byte(log), 0o600))
			tc.answer.id, tc.answer.vm, tc.answer.sent = "p", "vm", now
			if tc.answer.answered.IsZero() {
				tc.answer.answered = now.Add(time.Millisecond)
			}
			p := &promisesRun{tc: promisesCase{planned: true}, soak: &soak{
				t: t, ledger: standin.NewLedger(), answers: []soakAnswer{tc.answer}, vms: []*soakVM{{front: "vm", name: "vm", proc: &process{log: file}}},
			}}
			e := &standin.Endpoint{ID: "e", Service: "s", Slots: 8}
			assert.NilError(t, e.Start("127.0.0.1:0", p.ledger))
			t.Cleanup(e.Crash)
			for range tc.runs {
				post(t, e, tc.answer.path, "x", "p")
			}
			p.judgeAnswers()
			got := strings.Join(p.violations, "; ")
			assert.Equal(t, got == "", tc.want == "", got)
			assert.Assert(t, strings.Contains(got, tc.want), got)
		})
	}
}

// Guards against a check that misses an endpoint which works on a stream that another one has gone on with.
func TestCheckOfOverlapsCanFail(t *testing.T) {
	for name, tc := range map[string]struct {
		second string // the attempt that goes on
		stops  bool   // the endpoint before stops then
		leaves bool   // the caller leaves the one that goes on
		excuse func(p *promisesRun)
		want   bool
	}{
		"within an answer":             {"a", false, false, nil, true},
		"taken up by the caller":       {"b", false, false, nil, true},
		"another stream":               {"c", false, false, nil, false},
		"stopped":                      {"b", true, false, nil, false},
		"another one was given up":     {"b", false, true, nil, false},
		"a VM was suspended":           {"b", false, false, func(p *promisesRun) { p.markOutOfWork(time.Now().Add(-time.Hour)) }, false},
		"a VM was suspended long ago":  {"b", false, false, func(p *promisesRun) { p.outOfWork = []span{{time.Time{}, time.Now().Add(-time.Hour)}} }, true},
		"the endpoint has gone on now": {"b", false, false, func(p *promisesRun) { p.resumed = []time.Time{lastEventOf(p.ledger, "e1").Add(-time.Millisecond)} }, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := &promisesRun{soak: &soak{t: t, ledger: standin.NewLedger(), answers: []soakAnswer{{id: "b", stream: takenUp{root: "a"}}}}}
			first, second := streamFrom(t, p.ledger, "e1", "a"), streamFrom(t, p.ledger, "e2", tc.second)
			second.read(t, 2)
			if tc.stops {
				first.stop()
			}
			if tc.leaves {
				second.stop()
			}
			time.Sleep(2 * maxOverlap)
			first.stop()
			second.stop()
			if tc.excuse != nil {
				tc.excuse(p)
			}
			p.judgeOverlaps()
			assert.Equal(t, len(p.violations) > 0, tc.want, "%v", p.violations)
		})
	}
}

// lastEventOf returns when an endpoint made its last event.
func lastEventOf(l *standin.Ledger, endpoint string) (at time.Time) {
	for _, e := range l.Events() {
		if e.Endpoint == endpoint {
			at = e.At
		}
	}
	return at
}

// readStream is a stream of an endpoint that is read by hand.
type readStream struct {
	body io.ReadCloser
	stop func()
}

// streamFrom begins a stream at a new engine, and returns it once it has its first events.
func streamFrom(t *testing.T, l *standin.Ledger, engine, id string) *readStream {
	e := &standin.Endpoint{ID: engine, Stage: "decode", Slots: 8, EventInterval: promisesEventInterval}
	assert.NilError(t, e.Start("127.0.0.1:0", l))
	t.Cleanup(e.Crash)
	ctx, stop := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Addr()+pathResumable, http.NoBody)
	assert.NilError(t, err)
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Expect-Instance", e.ID)
	req.Header.Set("Token-Count", "300,20")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	s := &readStream{resp.Body, stop}
	s.read(t, 2)
	return s
}

// read reads a number of events.
func (s *readStream) read(t *testing.T, events int) {
	b := make([]byte, 1)
	for ends := 0; ends < 2*events; {
		_, err := io.ReadFull(s.body, b)
		assert.NilError(t, err)
		if b[0] == '\n' {
			ends++
		}
	}
}
