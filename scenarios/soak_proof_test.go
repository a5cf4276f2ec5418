package scenarios

import (
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/platform/standin"
)

// Guards against checks of the soak that can't fail: each case creates by hand what callers and
// endpoints observe of one violated guarantee, and the check has to report it.
func TestSoakChecksCanFail(t *testing.T) {
	now := time.Now()
	complete := soakAnswer{id: "ok", path: pathReads, status: http.StatusOK, complete: true, sent: now, answered: now}
	for name, tc := range map[string]struct {
		seed       int64
		answer     soakAnswer
		runs       int // executions of the answer's request
		order      []string
		limits     []limitPeriod
		left       time.Duration // time between the leaving notice and the runs
		rejections []rejection
		want       string
	}{
		"no violation":                         {seed: 2, answer: complete, runs: 1},
		"a non-idempotent call that ran twice": {seed: 2, answer: soakAnswer{id: "p", path: pathPay, status: 502}, runs: 2, want: "p ran 2 times"},
		"refused but run":                      {seed: 2, answer: soakAnswer{id: "p", path: pathPay, status: 503}, runs: 1, want: "answered 503, but the request was run"},
		"unexpected status":                    {seed: 2, answer: soakAnswer{id: "p", path: pathPay, status: 404}, want: "status 404"},
		"answer of another request":            {seed: 2, answer: soakAnswer{id: "r", path: pathReads, status: 200, problem: "body"}, want: "r /reads/: body"},
		"cut off by planned work":              {seed: 1, answer: soakAnswer{id: "o", path: pathOnce, status: 200}, runs: 1, want: "cut off by planned work"},
		"orders of two VMs at the same time":   {seed: 2, answer: complete, runs: 1, order: []string{`{"stage":"prefill","holder":"a","fence":1}`, `{"stage":"decode","holder":"b","fence":2,"expected":1}`}, want: "b sent an order only"},
		"order with an old token":              {seed: 2, answer: complete, runs: 1, order: []string{`{"stage":"prefill","holder":"a","fence":4}`, `{"stage":"decode","holder":"b","fence":3,"expected":1}`}, want: "token 3"},
		"requests above a limit":               {seed: 2, answer: soakAnswer{id: "r", path: pathReads, status: 200, complete: true}, runs: 6, limits: []limitPeriod{{"e", 0, now.Add(-time.Minute), now.Add(time.Minute)}}, want: "e announced a limit of 0 requests a second and received 6 in 4s, allowed 5"},
		"request to a leaving endpoint":        {seed: 2, answer: soakAnswer{id: "r", path: pathReads, status: 200, complete: true}, runs: 1, left: time.Minute, want: "after its answers announced that it is leaving"},
		"requests during a retry delay":        {seed: 2, answer: soakAnswer{id: "r", path: pathReads, status: 200, complete: true}, runs: 13, rejections: []rejection{{"e", now.Add(-time.Second), now.Add(time.Hour)}}, want: "e sent a retry delay and received 13 requests"},
		"no recovery":                          {seed: 2, answer: soakAnswer{id: "r", path: pathReads, status: 503}, want: "0 of 1 requests succeeded"},
	} {
		t.Run(name, func(t *testing.T) {
			s := &soak{t: t, seed: tc.seed, ledger: standin.NewLedger(), answers: []soakAnswer{tc.answer}, configs: []published{{soakConfig{reads: []string{"s"}}, 1, "", now}}, limits: tc.limits, rejections: tc.rejections}
			e := &standin.Endpoint{ID: "e", Service: "s", Slots: 8}
			assert.NilError(t, e.Start("127.0.0.1:0", s.ledger))
			t.Cleanup(e.Crash)
			if tc.left > 0 {
				e.AnnounceLeavingSince(now.Add(-tc.left))
				s.announced = append(s.announced, e)
			}
			for range tc.runs {
				post(t, e, tc.answer.path, "x", tc.answer.id)
			}
			for _, o := range tc.order {
				post(t, e, "/order", o, "")
			}
			s.answers[0].sent = now.Add(recoveryTime + time.Hour)
			s.answers[0].answered = s.answers[0].sent
			s.checkObservations()
			got := strings.Join(s.violations, "; ")
			assert.Equal(t, got == "", tc.want == "", got)
			assert.Assert(t, strings.Contains(got, tc.want), got)
		})
	}
}

// Checks that a request counts as sent on a closing connection only if its VM closed its connections at
// that moment and hasn't read the request.
func TestRequestsThatCrossTheCloseOfADrain(t *testing.T) {
	sent := time.Now()
	line := func(at time.Time) string {
		return "timestamp=" + at.UTC().Format(time.RFC3339Nano) + " level=info message=\"server drained\" server=front whole=true\n"
	}
	for name, tc := range map[string]struct {
		log  string
		err  error
		want bool
	}{
		"closed at that moment":   {line(sent.Add(time.Millisecond)), io.EOF, true},
		"reset at that moment":    {line(sent.Add(time.Millisecond)), syscall.ECONNRESET, true},
		"closed earlier":          {line(sent.Add(-time.Second)), io.EOF, false},
		"not closed":              {"", io.EOF, false},
		"read":                    {line(sent) + "level=info message=\"request ends\" id=r outcome=lost\n", io.EOF, false},
		"another error":           {line(sent), context.DeadlineExceeded, false},
		"another server's drain":  {strings.Replace(line(sent), "front", "peers", 1), io.EOF, false},
		"a line that starts late": {"x" + line(sent), io.EOF, false},
	} {
		file := filepath.Join(t.TempDir(), "log")
		assert.NilError(t, os.WriteFile(file, []byte(tc.log), 0o600))
		s := &soak{vms: []*soakVM{{front: "vm", proc: &process{log: file}}}}
		a := &soakAnswer{id: "r", vm: "vm", sent: sent, answered: sent.Add(2 * time.Millisecond), err: tc.err}
		assert.Equal(t, s.crossedClose(a), tc.want, name)
	}
}

func post(t *testing.T, e *standin.Endpoint, path, body, id string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.Addr()+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Attempt-Id", id)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
}

// Guards against an endpoint that serves requests of another soak, whose endpoint had its port before: its
// arrivals would count against the wrong run.
func TestEndpointsOfParallelSoaksRefuseEachOther(t *testing.T) {
	ids := map[string]string{}
	for _, name := range []string{"one", "two"} {
		t.Run(name, func(t *testing.T) { ids[name] = (&soak{t: t}).endpointID(7) })
	}
	e := &standin.Endpoint{ID: ids["two"], Service: "s", Slots: 8}
	ledger := standin.NewLedger()
	assert.NilError(t, e.Start("127.0.0.1:0", ledger))
	t.Cleanup(e.Crash)
	for _, name := range []string{"one", "two"} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.Addr()+pathReads, strings.NewReader("x"))
		assert.NilError(t, err)
		req.Header.Set("Expect-Instance", ids[name])
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode == http.StatusOK, name == "two")
	}
	assert.Equal(t, len(ledger.Arrivals()), 1)
}
