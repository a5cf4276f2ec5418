package keyedlog

import "fescuestand/internal/era"

// ending says how a key ended, in the order in which one replaces another.
type ending int

const (
	notEnded      ending = iota
	endedMissing         // it isn't there, and no record of its deletion was read
	endedByRecord        // a record of its deletion was read
	endedForGood         // as Entry.Final
)

// endingOf returns how the deletion e ends its key.
func endingOf(e *Entry) ending {
	switch {
	case e.Missing:
		return endedMissing
	case e.Final:
		return endedForGood
	}
	return endedByRecord
}

// keyState is what a follower has applied of a key.
type keyState struct {
	position era.Position // of the newest change
	written  era.Position // of the newest value
	foreign  era.Position // of the newest value of another era than that of position
	ended    ending
	// absent means that the newest records didn't have the key when they were last read.
	absent bool
}

// verdict says what a follower does with an entry.
type verdict int

const (
	apply          verdict = iota
	applyByContent         // apply a value of another era, which the handler orders by its content
	repeated               // it was applied before, in this or another shape
	outdated               // something newer was applied
)

// judge decides on an entry of a known key. snapshot is the position up to which the newest records were read.
func (s *keyState) judge(e *Entry, snapshot era.Position) verdict {
	if e.Value == nil {
		return s.judgeDeletion(e)
	}
	return s.judgeValue(e, snapshot)
}

// judgeDeletion lets a deletion through once for each way in which the key may have ended: peers send it
// several times, as a record and as a missing key.
func (s *keyState) judgeDeletion(e *Entry) verdict {
	switch {
	case s.ended == notEnded && e.Position.Before(s.position):
		return outdated
	case s.ended == notEnded:
		return apply
	case e.Position.Era < s.position.Era, e.Position.Before(s.written):
		return outdated
	case endingOf(e) > s.ended:
		return apply
	case !e.Missing && s.position.Before(e.Position):
		return apply // of a later value that this process hasn't received
	}
	return repeated
}

func (s *keyState) judgeValue(e *Entry, snapshot era.Position) verdict {
	switch {
	case e.FromPeer && (e.Position == s.written || e.Position == s.foreign):
		return repeated
	case s.absent && e.FromPeer && e.Position.Before(snapshot):
		return outdated
	case s.absent && !e.FromPeer, s.position.Before(e.Position):
		return apply
	case e.Position == s.position && s.ended == notEnded:
		return apply
	case e.Position.Era != s.position.Era && !s.hasNewerValue(e.Position):
		return applyByContent
	}
	return outdated
}

// hasNewerValue reports whether a later value of the era of p was applied.
func (s *keyState) hasNewerValue(p era.Position) bool {
	return p.Era == s.written.Era && p.Before(s.written)
}

// record records that e is applied.
func (s *keyState) record(e *Entry, v verdict) {
	switch {
	case v == applyByContent:
		s.foreign, s.ended = e.Position, notEnded // the handler may have taken it
	case e.Value != nil:
		s.position, s.written, s.ended, s.absent = e.Position, e.Position, notEnded, false
	default:
		if s.position.Before(e.Position) {
			s.position = e.Position
		}
		s.ended = max(s.ended, endingOf(e))
	}
}
