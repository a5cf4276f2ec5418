// Package catalog holds the state that a gateway routes by: the configuration in force with its
// routes and services, and the endpoints that serve them.
//
// The Store merges reports of both and publishes immutable Views. Requests only read the newest
// View, without locks.
package catalog

import (
	"iter"
	"slices"
	"strings"
	"time"

	"fescuestand/internal/workspace"
)

// Kind says whether requests of a route may run more than once.
type Kind uint8

// The kinds. The zero value is the one with the fewest guarantees.
const (
	NonIdempotent Kind = iota // runs at most once for each request
	Idempotent                // may run more than once
	Stream                    // is answered with a series of events
)

func (k Kind) String() string {
	return [...]string{"non-idempotent", "idempotent", "stream"}[k]
}

// Share is the weight with which a service gets a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route says how requests under one path prefix of a host are served.
type Route struct {
	Name           string
	Host           string
	PathPrefix     string // begins and ends with a slash
	Kind           Kind
	Resumable      bool          // another endpoint can continue a stream
	Timeout        time.Duration // maximum time until the answer, zero for none
	LatencyTarget  time.Duration // objective for the time to the answer or the first event
	EventGapTarget time.Duration // objective for the time between two events
	Priority       int           // 0 is the most urgent
	MaxAttempts    int           // maximum number of endpoints that one request is sent to
	Anonymous      bool          // no key is needed
	Shares         []Share
}

// Retryable reports whether a request of the route may be sent again after it may have run: it is
// idempotent, or a stream that another endpoint can continue.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// LeadsTo reports whether requests of the route may go to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// Service selects a service with a probability in proportion to its weight; random is a uniform
// random number. The result is empty if no share has a weight.
func (r *Route) Service(random uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(random % uint64(total))
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return ""
}

// Engine describes the engines of a model service, as the configuration declares them.
type Engine struct {
	Slots       int // maximum requests in one batch
	CacheTokens int // capacity of the KV cache in tokens
	// KVTransferPerToken is the time to transfer one token's KV cache to another engine of the
	// zone, zero if unknown.
	KVTransferPerToken time.Duration
	// StageChangeTime is how long an engine is unavailable during a change of its stage, zero if
	// unknown.
	StageChangeTime time.Duration
}

// Scaling holds how many endpoints of a service may be rented from the provider, and their prices.
type Scaling struct {
	Min, Max int           // endpoints per zone, including spot endpoints
	BootTime time.Duration // from renting an endpoint to its first request
	// SpotPrice is the price of a spot endpoint as a share of the price of a regular one in its
	// zone, zero if there are no spot endpoints.
	SpotPrice  float64
	ZonePrices map[string]float64 // price of one endpoint for one second, by availability zone
}

// Service is a set of endpoints that do the same work.
type Service struct {
	Name    string
	Engine  *Engine  // nil for a plain service
	Scaling *Scaling // nil if this system doesn't scale the service
}

// CallerLimits bound what a caller may send and how long it may take. Zero stands for the gateway's own limit.
type CallerLimits struct {
	HeaderBytes int64         // of a request's header fields
	BodyBytes   int64         // of a request's body, zero for none
	HeaderTime  time.Duration // to send a request's header
	IdleTime    time.Duration // that a connection may wait for a request
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  uint64
	Services map[string]*Service
	Limits   CallerLimits
	// Workspaces finds a request's workspace by its API key; it is nil where requests carry no
	// keys.
	Workspaces    *workspace.Directory
	routes        map[string][]*Route
	hasPriorities map[string]bool // by service
}

// NewConfig returns a configuration with the given routes, indexed by host, and services.
func NewConfig(version uint64, routes []*Route, services []*Service) *Config {
	c := &Config{Version: version, Services: make(map[string]*Service, len(services)), routes: map[string][]*Route{}, hasPriorities: servicesWithPriorities(routes)}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	return c
}

// Routes returns an iterator over all routes, in no particular order.
func (c *Config) Routes() iter.Seq[*Route] {
	return func(yield func(*Route) bool) {
		for _, list := range c.routes {
			for _, r := range list {
				if !yield(r) {
					return
				}
			}
		}
	}
}

// RouteCount returns the number of routes.
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

// hostName removes a port and lowers the case, since host names are case-insensitive.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}
