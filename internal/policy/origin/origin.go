// Package origin records at which software version streams began, so that a stream goes on only at
// endpoints of that version.
//
// Load pattern: during a release, endpoints of several versions serve one service side by side. Endpoints
// crash and VMs end meanwhile, and callers take up their streams at other VMs, many at once. Without the
// version, a VM continues a stream at any endpoint, and the caller gets an answer of which two versions
// wrote a part each. A VM that refuses all such streams loses them although endpoints could continue them.
//
// Approach: the VM that forwards the first event of a stream records the stream's origin in its Register
// and at a few other VMs, which the stream's key alone determines (Order). A VM to which a caller takes a
// stream up looks there. All VMs may be lost at once, so the store keeps at which versions streams may have
// begun (Starts), and the origins themselves while there are several. If nobody knows the origin, the
// stream goes on only if it can't have begun at another version.
//
// The package does no I/O and reads no clock. A Register is safe for concurrent use.
package origin

import "github.com/cespare/xxhash/v2"

// Origin is where a stream began.
type Origin struct {
	Service string
	Version string // of the endpoint's software
}

// Key identifies a stream: a hash of the id of the caller's attempt that brought its first event.
type Key uint64

// KeyOf returns the key of the stream that began with an attempt.
func KeyOf(attempt string) Key { return Key(xxhash.Sum64String(attempt)) }

// Stream identifies a stream and the route that it took.
type Stream struct {
	Key  Key
	Host string // in lower case and without a port
	Path string
}

// Unnamed is the key of a stream whose first attempt the caller doesn't name. It is never recorded.
const Unnamed Key = 0

// Observation is what one VM knows of a service's versions.
type Observation struct {
	Versions []string // that had an endpoint at any time since the stream may have begun
	Fresh    bool     // the VM would know of a version that was added lately
	Whole    bool     // the VM has observed the service for the whole time
}

// Poll collects what this VM and others have observed of a service's versions.
type Poll struct {
	asked, replied, answered int // VMs; those that haven't observed the whole time have replied, not answered
	whole                    bool
	versions                 map[string]struct{}
}

// NewPoll returns a poll of the given number of other VMs, with what this VM has observed.
func NewPoll(own Observation, asked int) *Poll {
	p := &Poll{asked: asked, versions: map[string]struct{}{}}
	p.merge(own)
	return p
}

// Add adds the answer of another VM. One that knows of no version, and wouldn't know of a new one, agrees
// with nothing, and neither does one that hasn't observed the service for the whole time.
func (p *Poll) Add(o Observation) {
	p.replied++
	if o.Whole && (o.Fresh || len(o.Versions) > 0) {
		p.answered++
	}
	p.merge(o)
}

func (p *Poll) merge(o Observation) {
	p.whole = p.whole || o.Whole
	for _, v := range o.Versions {
		p.versions[v] = struct{}{}
	}
}

// Only returns the version of the service if it had only one. It returns false if there were several, or if
// there may have been: no VM has observed the whole time, or most VMs haven't answered. One of those that the first
// VM of a stream told its origin is in each majority. A VM's own view is no substitute, however new: streams begin at a
// version before all VMs know of it.
func (p *Poll) Only() (string, bool) {
	if len(p.versions) != 1 || !p.whole || !p.HasMajority() {
		return "", false
	}
	for v := range p.versions {
		return v, true
	}
	return "", false
}

// Origins returns the versions that the VMs have observed as origins of a service.
func (p *Poll) Origins(service string) []Origin {
	var out []Origin
	for v := range p.versions {
		out = append(out, Origin{service, v})
	}
	return out
}

// HasMajority reports whether more than half of the other VMs have answered, or there is no other VM.
func (p *Poll) HasMajority() bool { return p.asked == 0 || 2*p.answered > p.asked }

// IsReached reports whether more than half of the other VMs have replied, whatever they know, or there is no other VM.
func (p *Poll) IsReached() bool { return p.asked == 0 || 2*p.replied > p.asked }

// IsComplete reports whether all other VMs have replied.
func (p *Poll) IsComplete() bool { return p.replied == p.asked }
