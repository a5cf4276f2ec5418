// Package catalog holds what a gateway knows of its world: the configuration in
// force with its routes and services, and the endpoints that serve them. One
// goroutine owns the Store and publishes immutable Views; traffic only reads.
package catalog

import (
	"strings"
	"time"

	"fescuestand/internal/workspace"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

// The kinds. The zero value is the one that promises least.
const (
	NonIdempotent Kind = iota // runs at most once for each request
	Idempotent                // may run more than once
	Stream                    // answers with a series of events
)

func (k Kind) String() string {
	return [...]string{"non-idempotent", "idempotent", "stream"}[k]
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route says how the requests below one path prefix of a host are served.
type Route struct {
	Name           string
	Host           string
	PathPrefix     string // begins and ends with a slash
	Kind           Kind
	Resumable      bool          // a stream may go on at another endpoint
	Timeout        time.Duration // longest time a caller is kept waiting, zero for none
	LatencyTarget  time.Duration // time to the answer or the first event that callers hope for
	EventGapTarget time.Duration // longest pause between events that callers hope for
	Priority       int           // 0 is the most urgent
	MaxAttempts    int           // endpoints that one request may be sent to
	Anonymous      bool          // no key is needed
	Shares         []Share
}

// Retryable tells whether a request of the route may be sent again after it
// may have run: it is idempotent, or a stream that another endpoint continues.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service returns the service that takes the request which draw, a random
// number, stands for. It is empty if no share has a weight.
func (r *Route) Service(draw uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(draw % uint64(total))
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return ""
}

// Engine is what a model service declares of its engines.
type Engine struct {
	Slots       int // requests in one batch
	CacheTokens int // tokens that the KV cache holds
	// KVTransferPerToken is the time in which one token's KV cache goes to another
	// engine of the zone, zero if not known.
	KVTransferPerToken time.Duration
	// StageChangeTime is how long an engine is away for a change of its stage,
	// zero if not known.
	StageChangeTime time.Duration
}

// Scaling says how many endpoints of a service may be ordered, and what they cost.
type Scaling struct {
	Min, Max int           // endpoints of a zone, spot ones included
	BootTime time.Duration // from the order to the first request
	// SpotPrice is the price of a spot endpoint as a share of that of another one of
	// its zone, zero where there are none.
	SpotPrice  float64
	ZonePrices map[string]float64 // of an endpoint's second, by availability zone
}

// Service is a set of endpoints that do the same work.
type Service struct {
	Name    string
	Engine  *Engine  // nil for a plain service
	Scaling *Scaling // nil if the endpoints aren't ordered by this system
}

// Config is one version of the operators' configuration.
type Config struct {
	Version      uint64
	Services     map[string]*Service
	MaxBodyBytes int64 // bytes of a request's body, zero for no limit
	// Workspaces are those whose keys requests must bear; it is nil where requests
	// bear none.
	Workspaces *workspace.Directory
	routes     map[string][]*Route
}

// NewConfig returns a configuration with the routes in force for their hosts.
func NewConfig(version uint64, routes []*Route, services []*Service) *Config {
	c := &Config{Version: version, Services: make(map[string]*Service, len(services)), routes: map[string][]*Route{}}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	return c
}

// RouteCount returns how many routes the configuration has.
func (c *Config) RouteCount() int {
	n := 0
	for _, list := range c.routes {
		n += len(list)
	}
	return n
}

// Match returns the route of host with the longest prefix of path, or nil.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.routes[hostName(host)] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// hostName drops a port and folds case, as host names compare.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}
