package gateway

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/freshness"
	"fescuestand/internal/workspace"
)

// keyedCodec reads keys too.
type keyedCodec struct{ codec }

func (k keyedCodec) Decode(r *http.Request) (*Call, error) {
	c, err := k.codec.Decode(r)
	if err == nil && r.Header.Get("Key") != "" {
		c.HasKey, c.Key = true, workspace.DigestOf(r.Header.Get("Key"))
	}
	return c, err
}

// keyedWorld is a gateway whose callers need keys.
type keyedWorld struct {
	*world
	mu      sync.Mutex
	verdict freshness.Verdict
	counted []string
}

func newKeyedWorld(t *testing.T, r catalog.Route) *keyedWorld {
	t.Helper()
	w := &keyedWorld{world: newWorld(t), verdict: freshness.AcceptOrDeny}
	o := &w.gateway.o
	o.Codec = keyedCodec{}
	o.Keys = func() freshness.Verdict {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.verdict
	}
	o.Began = func(_ clock.Time, s *workspace.Workspace) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.counted = append(w.counted, s.Name)
	}
	w.keys(t, r, "k1")
	return w
}

// keys puts a route in force, and the keys of the only workspace.
func (w *keyedWorld) keys(t *testing.T, r catalog.Route, keys ...string) {
	t.Helper()
	w.route(r)
	c := *w.store.View().Config
	c.Version++
	var err error
	c.Workspaces, err = workspace.NewDirectory([]workspace.Entry{{Workspace: workspace.Workspace{Name: "north"}, Keys: keys}})
	assert.NilError(t, err)
	w.store.SetConfig(&c)
}

func (w *keyedWorld) judge(v freshness.Verdict) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.verdict = v
}

func (w *keyedWorld) runs() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.counted...)
}

// Guards against keys that are judged by knowledge which may miss the configuration that brought or took them.
func TestKeysAreJudgedByFreshKnowledge(t *testing.T) {
	open := payment
	open.Anonymous = true
	for _, tc := range []struct {
		name    string
		route   catalog.Route
		key     string
		verdict freshness.Verdict
		status  int
	}{
		{"known", payment, "k1", freshness.AcceptOrDeny, 200},
		{"known, older knowledge", payment, "k1", freshness.AcceptOnly, 200},
		{"known, stale knowledge", payment, "k1", freshness.Stale, 503},
		{"unknown", payment, "k2", freshness.AcceptOrDeny, 401},
		{"unknown, older knowledge", payment, "k2", freshness.AcceptOnly, 503},
		{"unknown, stale knowledge", payment, "k2", freshness.Stale, 503},
		{"none", payment, "", freshness.AcceptOrDeny, 401},
		{"none on an anonymous route", open, "", freshness.Stale, 200},
		{"unknown on an anonymous route", open, "k2", freshness.AcceptOrDeny, 401},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newKeyedWorld(t, tc.route)
			w.endpoint("a", catalog.Whole, serve(t, sealed))
			w.judge(tc.verdict)
			resp, _, err := w.request(t, "POST", "/x/", "", "Key", tc.key)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tc.status)
			assert.Equal(t, resp.Header.Get("Retry-After") != "", tc.status == 503)
			if tc.status == 200 && tc.key != "" {
				assert.DeepEqual(t, w.runs(), []string{"north"})
			} else {
				assert.Equal(t, len(w.runs()), 0)
			}
		})
	}
}

// Guards against a request that waits while its key is taken away and is sent all the same.
func TestAKeyThatIsTakenAwayBetweenTwoAttemptsIsNotUsed(t *testing.T) {
	w := newKeyedWorld(t, lookup)
	b := serve(t, func(_ *backend, _ int, _ *http.Request, _ net.Conn) bool {
		w.keys(t, lookup, "k2")
		return false
	})
	w.endpoint("a", catalog.Whole, b)
	w.endpoint("b", catalog.Whole, b)
	resp, _, err := w.request(t, "GET", "/x/", "", "Key", "k1")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 401)
	assert.Equal(t, b.arrivals.Load(), int32(1))
}

// Guards against a stream that is cut because its key goes while it runs.
func TestAStreamThatHasBegunOutlivesItsKey(t *testing.T) {
	r := catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 2}
	w := newKeyedWorld(t, r)
	b := serve(t, func(_ *backend, n int, _ *http.Request, c net.Conn) bool {
		if n == 1 {
			events(c, 1, 3, false)
			w.keys(t, r, "k2")
			return false
		}
		return events(c, 4, 6, true)
	})
	w.endpoint("a", catalog.Whole, b)
	w.endpoint("b", catalog.Whole, b)
	resp, body, err := w.request(t, "GET", "/x/", "", "Key", "k1", "Tokens", "10")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, ids(body), "1 2 3 4 5 6")
	assert.DeepEqual(t, w.runs(), []string{"north"}) // once, however often it runs
}

// Guards against requests that are counted though no endpoint has begun to run them.
func TestRequestsThatDidNotRunAreNotCounted(t *testing.T) {
	w := newKeyedWorld(t, payment)
	w.endpoint("a", catalog.Whole, serve(t, notRunBy))
	resp, _, err := w.request(t, "POST", "/x/", "", "Key", "k1")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 503)
	assert.Equal(t, len(w.runs()), 0)
}

// Guards against keys in the answers that this VM gives of its own.
func TestRefusalsDoNotRepeatTheKey(t *testing.T) {
	w := newKeyedWorld(t, payment)
	resp, err := http.DefaultClient.Do(func() *http.Request {
		req, err := http.NewRequestWithContext(t.Context(), "POST", w.URL+"/x/", nil)
		assert.NilError(t, err)
		req.Host = "h.example"
		req.Header.Set("Key", "secret-key")
		return req
	}())
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 401)
	assert.Equal(t, string(body), "1020 unknown-api-key: no workspace holds the request's API key\n")
}

// The priority of a workspace goes before that of the route where callers hope for no certain time.
func TestAWorkspacesPriorityGoesFirst(t *testing.T) {
	high := 0
	x := &execution{route: &catalog.Route{Priority: 4}, c: &Call{Arrived: clock.Time(time.Second)}}
	assert.Equal(t, x.urgency(), 4)
	x.c.Workspace = &workspace.Workspace{Priority: &high}
	assert.Equal(t, x.urgency(), 0)
}
