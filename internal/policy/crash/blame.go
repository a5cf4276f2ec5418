package crash

import (
	"cmp"
	"slices"
	"time"

	"fescuestand/internal/clock"
)

const (
	// minRareCrashes is the number of endpoints from which a part is quarantined that no endpoint is known to
	// have answered a request with. Few requests have it, so that a mistake costs little.
	minRareCrashes = 3
	// minCommonCrashes is the same for a part that endpoints have answered requests with before.
	minCommonCrashes = 5
	// minRareConfirmed and minCommonConfirmed are how many of these crashes must have come after another one
	// was seen: endpoints that fail together for another reason were all sent their requests before.
	minRareConfirmed   = 1
	minCommonConfirmed = 2
	// confirmDelay is how long after a crash a request must have been sent to confirm it: until then VMs may
	// send requests to endpoints that failed together with the first one.
	confirmDelay = 200 * time.Millisecond
	// rarerFactor is how many times fewer answered requests a part must have than another one to be blamed in
	// its place, if it explains all crashes but one.
	rarerFactor = 4
)

// suspect is a request or a prompt part with the crashes that count against it.
type suspect struct {
	part    bool
	id      uint64
	crashes map[string]partCrash // by endpoint process
	answers uint32               // known answers to requests with the part, of any time
	lost    int                  // requests with the part that were lost at endpoints that crashed
}

// common reports whether endpoints have answered requests with the part before.
func (s *suspect) common() bool { return s.answers > 0 }

// blame returns the parts that explain the crashes of the suspects. Requests among them are refused anyway, and
// explain crashes like parts.
//
// Parts that few requests have go first: refusing them costs the least, and if that is a mistake, the next
// crash shows it. Each crash is explained by one suspect only, so that the parts which stand beside the
// cause in its prompts are not blamed as well.
func blame(suspects []*suspect) map[uint64]bool {
	b := blamer{explained: map[string]bool{}, blamed: map[uint64]bool{}}
	slices.SortFunc(suspects, compareSuspects)
	firstCommon := slices.IndexFunc(suspects, (*suspect).common)
	if firstCommon < 0 {
		firstCommon = len(suspects)
	}
	for _, s := range suspects[:firstCommon] {
		b.add(s)
	}
	for i, s := range suspects[firstCommon:] {
		if !b.explains(s) {
			continue
		}
		if r := rarest(suspects[firstCommon+i:]); r != s {
			b.accept(r)
		}
		b.add(s)
	}
	return b.blamed
}

// compareSuspects orders suspects by how readily they are blamed: requests and rare parts before common
// parts, then those that more endpoints crashed under.
func compareSuspects(x, y *suspect) int {
	if x.common() != y.common() {
		return order(!x.common())
	}
	if c := cmp.Compare(len(y.crashes), len(x.crashes)); c != 0 {
		return c
	}
	if x.part != y.part {
		return order(!x.part)
	}
	return cmp.Or(cmp.Compare(x.answers, y.answers), cmp.Compare(x.lost, y.lost), cmp.Compare(x.id, y.id))
}

func order(first bool) int {
	if first {
		return -1
	}
	return 1
}

// rarest returns the suspect that is blamed for the crashes of the first one: itself, or a much rarer part
// that explains as many crashes but for one.
func rarest(suspects []*suspect) *suspect {
	out := suspects[0]
	for _, s := range suspects[1:] {
		if len(s.crashes) >= len(suspects[0].crashes)-1 && rarerFactor*s.answers <= out.answers {
			out = s
		}
	}
	return out
}

// blamer collects blamed parts and the crashes that they explain.
type blamer struct {
	explained map[string]bool // by endpoint process
	blamed    map[uint64]bool
}

// add blames s if it explains enough crashes that nothing else explains.
func (b *blamer) add(s *suspect) {
	if b.explains(s) {
		b.accept(s)
	}
}

// accept blames s.
func (b *blamer) accept(s *suspect) {
	if s.part {
		b.blamed[s.id] = true
	}
	for endpoint := range s.crashes {
		b.explained[endpoint] = true
	}
}

// explains reports whether s explains enough crashes that nothing else explains.
func (b *blamer) explains(s *suspect) bool {
	left := make([]partCrash, 0, len(s.crashes))
	for endpoint, c := range s.crashes {
		if !b.explained[endpoint] {
			left = append(left, c)
		}
	}
	switch {
	case !s.part:
		return len(left) >= quarantineCrashes
	case s.common():
		return len(left) >= minCommonCrashes && confirmed(left) >= minCommonConfirmed
	}
	return len(left) >= minRareCrashes && confirmed(left) >= minRareConfirmed
}

// confirmed returns how many of the requests under which endpoints crashed were sent after the first of
// these crashes was known.
func confirmed(crashes []partCrash) int {
	first := slices.MinFunc(crashes, func(x, y partCrash) int { return cmp.Compare(x.at, y.at) }).at
	n := 0
	for _, c := range crashes {
		if c.sentAt > first.Add(confirmDelay) {
			n++
		}
	}
	return n
}

// partCrash is a crash of an endpoint under a request with a part.
type partCrash struct {
	at     clock.Time
	sentAt clock.Time // when the request was sent to the endpoint
	// cleared means that a request with the part was answered that was sent after the crash was known.
	cleared bool
}
