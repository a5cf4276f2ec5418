package scenarios

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/platform/standin"
)

// Each check of the soak must be able to fail: what a broken promise leaves with
// callers and endpoints is made by hand, and the check has to name it.
func TestSoakChecksCanFail(t *testing.T) {
	now := time.Now()
	whole := soakAnswer{id: "ok", path: reads, status: http.StatusOK, whole: true, sent: now, answered: now}
	for name, tc := range map[string]struct {
		seed   int64
		answer soakAnswer
		runs   int // of the answer's request
		order  []string
		limits []limited
		left   time.Duration // before the runs
		away   []away
		want   string
	}{
		"nothing is wrong":          {seed: 2, answer: whole, runs: 1},
		"a payment that ran twice":  {seed: 2, answer: soakAnswer{id: "p", path: pay, status: 502}, runs: 2, want: "p ran 2 times"},
		"a false refusal":           {seed: 2, answer: soakAnswer{id: "p", path: pay, status: 503}, runs: 1, want: "told 503, but it has run"},
		"a denied request":          {seed: 2, answer: soakAnswer{id: "p", path: pay, status: 404}, want: "status 404"},
		"another's answer":          {seed: 2, answer: soakAnswer{id: "r", path: reads, status: 200, wrong: "body"}, want: "r /reads/: body"},
		"a cut by planned work":     {seed: 1, answer: soakAnswer{id: "o", path: once, status: 200}, runs: 1, want: "cut off by planned work"},
		"orders by turns":           {seed: 2, answer: whole, runs: 1, order: []string{`{"stage":"prefill","holder":"a","fence":1}`, `{"stage":"decode","holder":"b","fence":2,"expected":1}`}, want: "b orders"},
		"an old token":              {seed: 2, answer: whole, runs: 1, order: []string{`{"stage":"prefill","holder":"a","fence":4}`, `{"stage":"decode","holder":"b","fence":3,"expected":1}`}, want: "token 3"},
		"more than a limit":         {seed: 2, answer: soakAnswer{id: "r", path: reads, status: 200, whole: true}, runs: 6, limits: []limited{{"e", 0, now.Add(-time.Minute), now.Add(time.Minute)}}, want: "e named 0 requests a second and got 6 in 4s, allowed 5"},
		"work for a leaving one":    {seed: 2, answer: soakAnswer{id: "r", path: reads, status: 200, whole: true}, runs: 1, left: time.Minute, want: "after its answers said that it leaves"},
		"no time for one that asks": {seed: 2, answer: soakAnswer{id: "r", path: reads, status: 200, whole: true}, runs: 13, away: []away{{"e", now.Add(-time.Second), now.Add(time.Hour)}}, want: "e asked for time and got 13 requests"},
		"a service that isn't back": {seed: 2, answer: soakAnswer{id: "r", path: reads, status: 503}, want: "0 of 1 requests served"},
	} {
		t.Run(name, func(t *testing.T) {
			s := &soak{t: t, seed: tc.seed, ledger: standin.NewLedger(), answers: []soakAnswer{tc.answer}, configs: []published{{1, "s", now}}, limits: tc.limits, away: tc.away}
			e := &standin.Endpoint{ID: "e", Service: "s", Slots: 8}
			assert.NilError(t, e.Start("127.0.0.1:0", s.ledger))
			t.Cleanup(e.Crash)
			if tc.left > 0 {
				e.AnnounceLeavingSince(now.Add(-tc.left))
				s.left = append(s.left, e)
			}
			for range tc.runs {
				post(t, e, tc.answer.path, "x", tc.answer.id)
			}
			for _, o := range tc.order {
				post(t, e, "/order", o, "")
			}
			s.answers[0].sent = now.Add(soakRecovery + time.Hour)
			s.answers[0].answered = s.answers[0].sent
			s.judge()
			got := strings.Join(s.complaints, "; ")
			assert.Equal(t, got == "", tc.want == "", got)
			assert.Assert(t, strings.Contains(got, tc.want), got)
		})
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
