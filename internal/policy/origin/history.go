package origin

import (
	"cmp"
	"slices"
)

// Change is a change of an endpoint's entry in the store.
type Change struct {
	ID      string
	Service string // empty if the entry has ended
	Version string
	Born    int64 // Unix milliseconds of the endpoint's start
	Accepts bool  // new work
	CanRun  bool  // it runs requests to their end
}

// History is how the endpoints' entries have changed lately. It tells VMs that have all started anew which versions
// have served and gone meanwhile, also where VMs couldn't write.
type History struct {
	Unchanged []Change // the entries that haven't changed in the time of Changes
	Changes   []Change // the oldest first
	// Whole means that Changes has all changes that there were. Otherwise endpoints whose first change is in it may
	// have had an entry before.
	Whole bool
}

// UsedOffRecord returns where streams may have begun while only one origin of its service was on record: versions that
// served when that one didn't suffice (Starts.MayBegin). It leaves out what had ended before since, in Unix milliseconds
// by the endpoints' clocks.
func (h *History) UsedOffRecord(recorded Origin, since int64) []Origin {
	entries := h.entriesBefore(recorded, since)
	var found, used []Origin
	reached := int64(0) // no change from here on is older
	for _, c := range h.Changes {
		reached = max(reached, c.Born)
		if reached >= since {
			found = append(found, used...)
		}
		entries[c.ID] = c
		used = usedBeside(recorded, entries)
	}
	found = append(found, used...)
	slices.SortFunc(found, func(a, b Origin) int { return cmp.Compare(a.Version, b.Version) })
	return slices.Compact(found)
}

// entriesBefore returns the entries before the first change. Of an endpoint that may have had one, that is an entry of
// the version on record: what isn't known proves no use of another one. An endpoint that started after since had none.
func (h *History) entriesBefore(recorded Origin, since int64) map[string]Change {
	entries := map[string]Change{}
	for _, c := range slices.Backward(h.Changes) { // the first change of an endpoint decides
		delete(entries, c.ID)
		if hasEnded := c.Service == ""; !h.Whole && (hasEnded || c.Born < since) {
			entries[c.ID] = Change{ID: c.ID, Service: recorded.Service, Version: recorded.Version, Accepts: true, CanRun: true}
		}
	}
	for _, c := range h.Unchanged {
		entries[c.ID] = c
	}
	return entries
}

// usedBeside returns where new streams begin off the record, as the one origin on record doesn't suffice.
func usedBeside(recorded Origin, entries map[string]Change) []Origin {
	var others []Origin
	written := Serving{}
	for _, c := range entries {
		o := Origin{c.Service, c.Version}
		switch {
		case c.Service != recorded.Service || !c.Accepts:
		case o == recorded:
			written.Endpoints++
			written.CanRun = written.CanRun || c.CanRun
		default:
			others = append(others, o)
		}
	}
	if written.suffices(written.Endpoints + len(others)) {
		return nil
	}
	return others
}
