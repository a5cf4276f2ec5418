package poison

import "fescuestand/internal/clock"

func (t *Tracker) verdict(now clock.Time, f Fingerprint) Verdict {
	if t.cfg.Off {
		return Clear
	}
	t.expire(now)
	if t.lost(f) == 0 {
		return Clear
	}
	if t.convicted(f) {
		return Guilty
	}
	open := 0
	for _, c := range t.crashes {
		if c.ran(f) && !t.explained(c) {
			open++
		}
	}
	switch {
	case open >= convicting:
		// It always shared its crashes with another such request, which
		// Start prevents at one entry. The engines go first.
		return Guilty
	case open > 0:
		return Suspect
	}
	return Clear
}

func (c *crash) ran(f Fingerprint) bool {
	_, ok := c.running[f]
	return ok
}

// convicted says whether f is the only request of some crash that was in
// another one too. A neighbour that was in the crashes of two guilty requests
// is not: each of the two is in both of its crashes.
func (t *Tracker) convicted(f Fingerprint) bool {
	if t.lost(f) < convicting {
		return false
	}
	for _, c := range t.crashes {
		if c.ran(f) && t.repeated(c) == 1 {
			return true
		}
	}
	return false
}

// repeated counts the requests of a crash that were in another one too.
func (t *Tracker) repeated(c *crash) int {
	n := 0
	for f := range c.running {
		if t.lost(f) >= convicting {
			n++
		}
	}
	return n
}

// explained says whether a convicted request was in the crash.
func (t *Tracker) explained(c *crash) bool {
	for f := range c.running {
		if t.convicted(f) {
			return true
		}
	}
	return false
}

// lost counts the crashes that f was in.
func (t *Tracker) lost(f Fingerprint) int {
	n := 0
	for _, c := range t.crashes {
		if c.ran(f) {
			n++
		}
	}
	return n
}
