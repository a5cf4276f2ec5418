package bytebudget

import "time"

// Verdict is the result of a claim.
type Verdict int

// The verdicts.
const (
	Granted   Verdict = iota
	NoRoom            // bodies of this size have taken what there is for them
	OverShare         // the route or the workspace holds its share
)

// Claim is what the body of one request has taken from a budget. It is used by one goroutine at a time.
type Claim struct {
	budget           *Budget
	route, workspace *int64 // shares; nil for no workspace
	bytes            int64
}

// NewClaim returns a claim that holds nothing yet. workspace is empty if the request has none.
func (b *Budget) NewClaim(route, workspace string) Claim {
	c := Claim{budget: b, route: b.shareOf(routes, route)}
	if workspace != "" {
		c.workspace = b.shareOf(workspaces, workspace)
	}
	return c
}

// Bytes returns what the claim holds.
func (c *Claim) Bytes() int64 { return c.bytes }

// Take takes n bytes for a body of at least size bytes.
func (c *Claim) Take(n, size int64) Verdict {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	rest := b.room(size) - n
	switch {
	case rest < 0:
		b.s.Refused++
		b.s.RoomRefused++
		return NoRoom
	case !c.withinShares(n, rest*callerShare):
		b.s.Refused++
		b.s.ShareRefused++
		return OverShare
	}
	c.add(n)
	b.s.Peak = max(b.s.Peak, b.s.Used)
	b.s.RequestsPeak = max(b.s.RequestsPeak, b.s.Requests)
	return Granted
}

// withinShares reports whether the shares allow n more bytes. What the claim holds itself doesn't count as held by
// others. The budget's lock is held.
func (c *Claim) withinShares(n, allowed int64) bool {
	for _, share := range []*int64{c.route, c.workspace} {
		if share != nil && *share > c.bytes && *share+n > allowed {
			return false
		}
	}
	return true
}

func (c *Claim) add(n int64) {
	c.budget.s.Used += n
	c.budget.s.Requests += n
	*c.route += n
	if c.workspace != nil {
		*c.workspace += n
	}
	c.bytes += n
}

// Give gives back n of the bytes.
func (c *Claim) Give(n int64) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.add(-n)
}

// holdWeight is the weight of the past in the mean time for which large bodies are held, against one for the newest.
const holdWeight = 7

// End gives back all that is left. held is the time since the first Take.
func (c *Claim) End(held time.Duration) {
	if c.bytes == 0 {
		return
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.bytes >= LargeBytes {
		b.meanHold = (b.meanHold*holdWeight + held) / (holdWeight + 1)
	}
	c.add(-c.bytes)
}

// MeanHold returns for how long a large body of a request is held.
func (b *Budget) MeanHold() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.meanHold
}

// Send is a body on its way to an endpoint.
type Send struct {
	budget *Budget
	share  *int64
	bytes  int64
}

// BeginSend counts a body of size bytes that is about to be sent against the share of its endpoint. It returns false
// if the endpoint holds its share. isOnly means that there is no other endpoint for which room must be left.
func (b *Budget) BeginSend(endpoint string, size int64, isOnly bool) (Send, bool) {
	s := Send{budget: b, bytes: size}
	if size == 0 {
		return s, true
	}
	s.share = b.shareOf(endpoints, endpoint)
	b.mu.Lock()
	defer b.mu.Unlock()
	if !isOnly && *s.share > 0 && *s.share+size > b.endpointShare(size) {
		b.s.ShareDenied++
		return Send{}, false
	}
	*s.share += size
	return s, true
}

// End is called once when the endpoint has read the body or the exchange has ended.
func (s *Send) End() {
	if s.bytes == 0 {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	*s.share -= s.bytes
	s.bytes = 0
}
