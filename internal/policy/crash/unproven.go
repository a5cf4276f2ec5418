package crash

import (
	"slices"
	"time"

	"fescuestand/internal/clock"
)

const (
	// maxUnproven bounds the unproven answers of an endpoint, and maxUnprovenEndpoints the endpoints that have
	// some. The oldest ones of an endpoint yield.
	maxUnproven          = 32
	maxUnprovenEndpoints = 256
	// unprovenTime is how long an answer stays unproven. It outlasts the time until the end of its endpoint is
	// known.
	unprovenTime = 5 * time.Second
)

// Unproven is an answer that ended with its connection, so that it may be complete or cut short by the end of
// its endpoint. What comes next from the endpoint tells.
type Unproven struct {
	Request uint64
	Parts   []uint64   // of its prompt; none if it had got on for a while
	SentAt  clock.Time // when the request was sent to the endpoint
	EndedAt clock.Time
}

// RecordUnproven records an answer that may have been cut short. It returns false if it was for certain, as the
// endpoint is known to have crashed.
func (r *Register) RecordUnproven(id string, u Unproven) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.endpoints[id]; e != nil && e.hasCrashes {
		return false
	}
	r.addUnproven(id, u)
	return true
}

func (r *Register) addUnproven(id string, u Unproven) {
	list := r.unproven[id]
	if list == nil && len(r.unproven) >= maxUnprovenEndpoints {
		r.expireUnproven(u.EndedAt)
	}
	if list == nil && len(r.unproven) >= maxUnprovenEndpoints {
		return
	}
	if len(list) >= maxUnproven {
		list = slices.Delete(list, 0, 1)
	}
	r.unproven[id] = append(list, u)
}

func (r *Register) expireUnproven(now clock.Time) {
	for id, list := range r.unproven {
		if now.Sub(list[len(list)-1].EndedAt) > unprovenTime {
			delete(r.unproven, id)
		}
	}
}

// prove counts the unproven answers of an endpoint as complete that ended before it received a request which
// it has answered.
func (r *Register) prove(sentAt clock.Time, id string) {
	list, found := r.unproven[id]
	if !found {
		return
	}
	list = slices.DeleteFunc(list, func(u Unproven) bool {
		if u.EndedAt >= sentAt {
			return false
		}
		r.recordSuccess(u.Request, u.EndedAt)
		for _, p := range u.Parts {
			r.parts.recordAnswer(u.SentAt, p)
		}
		return true
	})
	if len(list) == 0 {
		delete(r.unproven, id)
		return
	}
	r.unproven[id] = list
}

// TakeUnproven returns the unproven answers of an endpoint that has crashed, as crashes: nothing shows that it
// lived after it sent them.
func (r *Register) TakeUnproven(now clock.Time, id string) []Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Crash
	for _, u := range r.unproven[id] {
		if now.Sub(u.EndedAt) > unprovenTime {
			continue
		}
		c := Crash{Request: u.Request, Endpoint: id, Age: now.Sub(u.EndedAt)}
		for _, p := range u.Parts {
			c.Parts = append(c.Parts, PartCrash{Part: p, SentAge: now.Sub(u.SentAt)})
		}
		out = append(out, c)
	}
	delete(r.unproven, id)
	return out
}
