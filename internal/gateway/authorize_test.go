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

// keyedCodec is a codec that also reads API keys.
type keyedCodec struct{ codec }

func (k keyedCodec) Decode(r *http.Request) (*Call, error) {
	c, err := k.codec.Decode(r)
	if err == nil && r.Header.Get("Key") != "" {
		c.HasKey, c.Key = true, workspace.DigestOf(r.Header.Get("Key"))
	}
	return c, err
}

// keyedGateway is a gateway whose callers need API keys.
type keyedGateway struct {
	*testGateway
	mu         sync.Mutex
	verdict    freshness.Verdict
	workspaces []string
}

func newKeyedGateway(t *testing.T, r catalog.Route) *keyedGateway {
	t.Helper()
	w := &keyedGateway{testGateway: newTestGateway(t), verdict: freshness.AcceptOrDeny}
	o := &w.gateway.o
	o.Codec = keyedCodec{}
	o.KeyFreshness = func() freshness.Verdict {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.verdict
	}
	o.OnRequestRunning = func(_ clock.Time, s *workspace.Workspace) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.workspaces = append(w.workspaces, s.Name)
	}
	w.setKeys(t, r, "k1")
	return w
}

// setKeys installs a configuration with one route and one workspace with the given keys.
func (w *keyedGateway) setKeys(t *testing.T, r catalog.Route, keys ...string) {
	t.Helper()
	w.setRoute(r)
	c := *w.store.View().Config
	c.Version++
	var err error
	c.Workspaces, err = workspace.NewDirectory([]workspace.Entry{{Workspace: workspace.Workspace{Name: "north"}, Keys: keys}})
	assert.NilError(t, err)
	w.store.SetConfig(&c)
}

func (w *keyedGateway) setVerdict(v freshness.Verdict) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.verdict = v
}

func (w *keyedGateway) countedWorkspaces() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.workspaces...)
}

// Guards against keys that are accepted or rejected by a configuration that may be too old to
// contain their creation or revocation.
func TestKeyVerificationNeedsFreshConfiguration(t *testing.T) {
	anonymousRoute := commitRoute
	anonymousRoute.Anonymous = true
	for _, tc := range []struct {
		name    string
		route   catalog.Route
		key     string
		verdict freshness.Verdict
		status  int
	}{
		{"known", commitRoute, "k1", freshness.AcceptOrDeny, 200},
		{"known key, older configuration", commitRoute, "k1", freshness.AcceptOnly, 200},
		{"known key, stale configuration", commitRoute, "k1", freshness.Stale, 503},
		{"unknown", commitRoute, "k2", freshness.AcceptOrDeny, 401},
		{"unknown key, older configuration", commitRoute, "k2", freshness.AcceptOnly, 503},
		{"unknown key, stale configuration", commitRoute, "k2", freshness.Stale, 503},
		{"none", commitRoute, "", freshness.AcceptOrDeny, 401},
		{"no key on an anonymous route", anonymousRoute, "", freshness.Stale, 200},
		{"unknown key on an anonymous route", anonymousRoute, "k2", freshness.AcceptOrDeny, 401},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newKeyedGateway(t, tc.route)
			w.addEndpoint("a", catalog.Whole, serve(t, answerSigned))
			w.setVerdict(tc.verdict)
			resp, _, err := w.request(t, "POST", "/x/", "", "Key", tc.key)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tc.status)
			assert.Equal(t, resp.Header.Get("Retry-After") != "", tc.status == 503)
			if tc.status == 200 && tc.key != "" {
				assert.DeepEqual(t, w.countedWorkspaces(), []string{"north"})
			} else {
				assert.Equal(t, len(w.countedWorkspaces()), 0)
			}
		})
	}
}

// Guards against a retry that is sent although the request's key was revoked after the first
// attempt.
func TestKeyRevokedBetweenAttemptsIsRejected(t *testing.T) {
	w := newKeyedGateway(t, lookupRoute)
	b := serve(t, func(_ *backend, _ int, _ *http.Request, _ net.Conn) bool {
		w.setKeys(t, lookupRoute, "k2")
		return false
	})
	w.addEndpoint("a", catalog.Whole, b)
	w.addEndpoint("b", catalog.Whole, b)
	resp, _, err := w.request(t, "GET", "/x/", "", "Key", "k1")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 401)
	assert.Equal(t, b.arrivals.Load(), int32(1))
}

// Guards against a stream that is cut off because its key is revoked while it runs.
func TestRunningStreamContinuesAfterKeyRevocation(t *testing.T) {
	r := catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 2}
	w := newKeyedGateway(t, r)
	b := serve(t, func(_ *backend, n int, _ *http.Request, c net.Conn) bool {
		if n == 1 {
			events(c, 1, 3, false)
			w.setKeys(t, r, "k2")
			return false
		}
		return events(c, 4, 6, true)
	})
	w.addEndpoint("a", catalog.Whole, b)
	w.addEndpoint("b", catalog.Whole, b)
	resp, body, err := w.request(t, "GET", "/x/", "", "Key", "k1", "Tokens", "10")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, eventIDs(body), "1 2 3 4 5 6")
	assert.DeepEqual(t, w.countedWorkspaces(), []string{"north"}) // once, though it ran twice
}

// Guards against requests that are counted for their workspace although no endpoint has run them.
func TestRequestsThatDidNotRunAreNotCounted(t *testing.T) {
	w := newKeyedGateway(t, commitRoute)
	w.addEndpoint("a", catalog.Whole, serve(t, rejectRequest))
	resp, _, err := w.request(t, "POST", "/x/", "", "Key", "k1")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 503)
	assert.Equal(t, len(w.countedWorkspaces()), 0)
}

// Guards against API keys in the refusals that this VM sends.
func TestRefusalsDoNotContainTheKey(t *testing.T) {
	w := newKeyedGateway(t, commitRoute)
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

// The priority of a workspace takes precedence over that of a route without a target.
func TestWorkspacePriorityOverridesRoutePriority(t *testing.T) {
	high := 0
	x := &execution{route: &catalog.Route{Priority: 4}, call: &Call{Arrived: clock.Time(time.Second)}}
	assert.Equal(t, x.urgencyRank(), 4)
	x.call.Workspace = &workspace.Workspace{Priority: &high}
	assert.Equal(t, x.urgencyRank(), 0)
}
