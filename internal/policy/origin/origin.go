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
// stream up looks there. If nobody knows, the stream goes on only if there is no other version at which it
// could have begun (Only).
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

// Observation is what one VM knows of a service's versions.
type Observation struct {
	Versions []string // that had an endpoint at any time since the stream may have begun
	Fresh    bool     // the VM would know of a version that was added lately
}

// Only returns the version of a service if it had only one, by what several VMs have observed. It returns
// false if there were several, or if no VM's knowledge is fresh.
func Only(observed []Observation) (version string, ok bool) {
	fresh := false
	for _, o := range observed {
		fresh = fresh || o.Fresh
		for _, v := range o.Versions {
			if ok && v != version {
				return "", false
			}
			version, ok = v, true
		}
	}
	return version, ok && fresh
}
