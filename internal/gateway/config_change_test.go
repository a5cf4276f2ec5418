package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

const (
	// changeAt is when a configuration is changed, and changeBackAt when the first one returns.
	changeAt, changeBackAt = 1230 * time.Millisecond, 2470 * time.Millisecond
	// lossAt is when engines break off what they are running.
	lossAt = changeAt + 50*time.Millisecond
	// changeRequests is the number of requests, which begin one after the other at changeRequestInterval.
	changeRequests        = 30
	changeRequestInterval = 100 * time.Millisecond
	// changedTimeout is shorter than a stream lasts, and than a call.
	changedTimeout = 150 * time.Millisecond
	// otherService is one to which the configuration moves requests.
	otherService = "other"
)

// changingConfig is a configuration that is changed while requests are in progress.
type changingConfig struct {
	route        catalog.Route
	dropped      bool // the route
	gone         bool // its service
	maxBodyBytes int64
}

// configChanges are the changes of a configuration.
var configChanges = map[string]func(c *changingConfig){
	"timeout": func(c *changingConfig) { c.route.Timeout = changedTimeout },
	"targets": func(c *changingConfig) {
		c.route.LatencyTarget, c.route.EventGapTarget = time.Millisecond, time.Millisecond
	},
	"body limit":    func(c *changingConfig) { c.maxBodyBytes = 1 },
	"attempts":      func(c *changingConfig) { c.route.MaxAttempts = 1 },
	"kind":          func(c *changingConfig) { c.route.Kind = (c.route.Kind + 1) % 3 },
	"not resumable": func(c *changingConfig) { c.route.Resumable = false },
	"route moved":   func(c *changingConfig) { c.route.Shares = []catalog.Share{{Service: otherService, Weight: 1}} },
	"route split": func(c *changingConfig) {
		c.route.Shares = append(c.route.Shares, catalog.Share{Service: otherService, Weight: 1})
	},
	"route dropped":    func(c *changingConfig) { c.dropped = true },
	"route leads away": func(c *changingConfig) { c.route.Shares = nil },
	"service gone":     func(c *changingConfig) { c.gone = true },
	"all gone":         func(c *changingConfig) { c.gone, c.dropped = true, true },
}

// changeRun is a gateway whose configuration is changed.
type changeRun struct {
	w *testGateway
	disturbance
	first   changingConfig
	version uint64

	mu     sync.Mutex
	whole  int
	faults []string
}

// put puts a configuration in force.
func (s *changeRun) put(c changingConfig) {
	s.version++
	c.route.Name, c.route.Host, c.route.PathPrefix = "r", "h.example", "/x/"
	routes, services := []*catalog.Route{&c.route}, []*catalog.Service{{Name: otherService, Engine: &catalog.Engine{CacheTokens: 100_000}}}
	if c.dropped {
		routes = nil
	}
	if !c.gone {
		services = append(services, &catalog.Service{Name: "s", Engine: &catalog.Engine{CacheTokens: 100_000}})
	}
	cfg := catalog.NewConfig(s.version, routes, services)
	cfg.Limits.BodyBytes = c.maxBodyBytes
	s.w.store.SetConfig(cfg)
}

// send sends the n-th request and judges its end. Those that were sent before the change must be answered.
func (s *changeRun) send(t *testing.T, n int) {
	time.Sleep(time.Duration(n) * changeRequestInterval)
	id, sent := strconv.Itoa(n), time.Now()
	headers := []string{"Id", id, "Patience", fmt.Sprint(silencePatience.Milliseconds())}
	if s.first.route.Kind == catalog.Stream {
		headers = append(headers, "Tokens", "100", "Parts", fmt.Sprintf("1:50 %d:50", 100+n))
	}
	resp, body, err := s.w.request(t, "POST", "/x/", "body", headers...)
	took := time.Since(sent)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil && resp.StatusCode == http.StatusOK && s.isWhole(id, body):
		s.whole++
	case err == nil && s.hosts && promisesNotRun(resp.StatusCode): // no engine could be reached
	case err == nil && s.lossy && s.first.route.Kind == catalog.NonIdempotent && resp.StatusCode == http.StatusBadGateway:
	case time.Duration(n)*changeRequestInterval < changeAt:
		s.faults = append(s.faults, fmt.Sprintf("%s, sent before the change: %v %.60q after %s", id, err, body, took))
	case err == nil && resp.StatusCode != http.StatusOK && refusalText.MatchString(body):
	case err != nil && took >= changedTimeout && took < changedTimeout+maxOvertime:
	default:
		s.faults = append(s.faults, fmt.Sprintf("%s: %v %.60q after %s", id, err, body, took))
	}
}

func (s *changeRun) isWhole(id, body string) bool {
	if s.first.route.Kind == catalog.Stream {
		return strings.Count(body, "id: ") == silenceEvents
	}
	return body == wholeCallBody+" to "+id
}

// disturbance is what engines do beside a change of the configuration.
type disturbance struct {
	silenceCase
	silent bool // they fall silent as the case says
	lossy  bool // half of them break off what they are running after the change
}

// Guards against requests in progress that end without their whole answers as the configuration changes: its limits,
// timeouts, routes or services.
func TestConfigurationChangesCutNoAnswer(t *testing.T) {
	routes := map[string]catalog.Route{"stream": streamRoute, "lookup": lookupRoute, "commit": commitRoute}
	disturbances := map[string]disturbance{
		"sound":                   {},
		"silences":                {silent: true},
		"silences together":       {silent: true, silenceCase: silenceCase{together: true}},
		"silences of their hosts": {silent: true, silenceCase: silenceCase{together: true, hosts: true}},
		"losses":                  {lossy: true},
	}
	for change, apply := range configChanges {
		for kind, route := range routes {
			for name, d := range disturbances {
				t.Run(change+"/"+kind+"/"+name, func(t *testing.T) {
					t.Parallel()
					simulated(t, func(t *testing.T, w *testGateway) { testConfigChange(t, w, route, apply, d) })
				})
			}
		}
	}
}

func testConfigChange(t *testing.T, w *testGateway, route catalog.Route, apply func(c *changingConfig), d disturbance) {
	d.roomy = true
	engines := newSilenceRun(t, w, d.silenceCase)
	route.Shares = []catalog.Share{{Service: "s", Weight: 1}}
	s := &changeRun{w: w, disturbance: d, first: changingConfig{route: route}, version: w.store.View().Config.Version}
	s.put(s.first)
	changed := s.first
	apply(&changed)
	var all sync.WaitGroup
	for n := range changeRequests {
		all.Go(func() { s.send(t, n) })
	}
	all.Go(func() {
		time.Sleep(changeAt)
		s.put(changed)
		time.Sleep(changeBackAt - changeAt)
		s.put(s.first)
	})
	switch {
	case d.silent:
		time.Sleep(changeAt - silenceTime/2)
		engines.silenceOnce()
	case d.lossy:
		time.Sleep(lossAt)
		for _, e := range engines.engines[:silenceEngines/2] {
			e.breakOff()
		}
	}
	all.Wait()
	assert.Equal(t, len(s.faults), 0, "%s", strings.Join(s.faults, "\n"))
	assert.Assert(t, s.whole > 0)
}

// Guards against a request that is repeated by another configuration than that by which it was accepted: its route
// becomes repeatable, may have more attempts or leads to another service while an endpoint runs it.
func TestRepeatsFollowTheConfigurationOfTheArrival(t *testing.T) {
	for name, tc := range map[string]struct {
		arrival, later catalog.Route
		runs           int32
	}{
		"kind":     {commitRoute, catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 5}, 1},
		"resumed":  {catalog.Route{Kind: catalog.Stream, MaxAttempts: 5}, catalog.Route{Kind: catalog.Stream, MaxAttempts: 5, Resumable: true}, 1},
		"attempts": {lookupRoute, catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 5}, 2},
		"service":  {lookupRoute, catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2, Shares: []catalog.Share{{Service: "other", Weight: 1}}}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			simulated(t, func(t *testing.T, w *testGateway) {
				w.setRoute(tc.arrival)
				b := w.serve(t, func(b *backend, _ int, _ *http.Request, _ net.Conn) bool {
					b.runs.Add(1)
					changed := tc.later
					changed.Name, changed.Host, changed.PathPrefix = "r", "h.example", "/x/"
					if changed.Shares == nil {
						changed.Shares = []catalog.Share{{Service: "s", Weight: 1}}
					}
					services := []*catalog.Service{{Name: "s", Engine: &catalog.Engine{CacheTokens: 100_000}}, {Name: "other"}}
					w.store.SetConfig(catalog.NewConfig(uint64(time.Now().UnixNano()), []*catalog.Route{&changed}, services))
					time.Sleep(silenceCallTime)
					return false
				})
				for _, id := range []string{"a", "b", "c", "d"} {
					w.addEndpoint(id, catalog.Whole, b)
				}
				resp, _, err := w.request(t, "POST", "/x/", "x", "Tokens", "100")
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
				assert.Equal(t, b.runs.Load(), tc.runs)
			})
		})
	}
}
