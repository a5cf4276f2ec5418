package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fescuestand/internal/clock"
)

const (
	// maxParts bounds the number of prompt parts that crashes are recorded for.
	maxParts = 4096
	// maxPartEndpoints bounds the crashes that are kept of one part; the oldest yield.
	maxPartEndpoints = 64
	// answerSlots is the size of the table of parts that endpoints have answered requests with.
	answerSlots = 4096
	// judgeInterval is the time after which parts are judged again without new evidence, as crashes expire.
	judgeInterval = time.Second
	// maxReportedParts bounds the parts in a message, and maxReportedCrashes the crashes of each.
	maxReportedParts   = 3
	maxReportedCrashes = minCommonCrashes
	// rareTrialDelay and commonTrialDelay are the time after the newest crash at which a request with a
	// quarantined part is tried again: a common part that is refused by mistake costs much. It is multiplied by
	// trialBackoff after each trial that has ended in a crash, so that a part that goes on crashing endpoints
	// costs few of them.
	rareTrialDelay   = 30 * time.Second
	commonTrialDelay = 3 * time.Second
	trialBackoff     = 8
	// maxTransit is how much later a time may seem that was received from another VM.
	maxTransit = time.Second
	// minTrialInterval is the time between two trials that have neither crashed an endpoint nor been
	// answered.
	minTrialInterval = 10 * time.Second
)

// PartCrash is the evidence that the crash of an endpoint gives against a part: a request with the part was
// waiting there, or its answer had just begun.
type PartCrash struct {
	Part       uint64
	SentAge    time.Duration // since the request was sent to the endpoint
	Answers    uint32        // known answers to requests with the part
	Cleared    bool          // one of these requests was sent after the crash
	Refused    bool          // requests with the part were refused
	RefusedAge time.Duration // since the newest refusal
}

func (p PartCrash) later(d time.Duration) PartCrash {
	p.SentAge += d
	p.RefusedAge += d
	return p
}

// partRecord is what is known of a part under which an endpoint has crashed.
type partRecord struct {
	crashes    map[string]partCrash // by endpoint process
	lost       int                  // requests with the part that endpoints which crashed were running
	answers    uint32               // answered requests with the part, as far as known
	answeredAt clock.Time           // when this VM has sent the newest of them; zero if it has sent none
	refusedAt  clock.Time           // when a request with the part was last refused, zero if none was
	triedAt    clock.Time           // when the latest trial began, zero if there was none
	failed     int                  // trials of this VM that have ended in a crash
}

// isKept reports whether crashes of the part count for longer than crashTTL, as requests with it still come.
func (p *partRecord) isKept(now clock.Time) bool {
	return p.refusedAt != 0 && now.Sub(p.refusedAt) <= crashTTL
}

// expire deletes crashes that no longer count.
func (p *partRecord) expire(now clock.Time) {
	if p.isKept(now) {
		return
	}
	maps.DeleteFunc(p.crashes, func(_ string, c partCrash) bool { return now.Sub(c.at) > crashTTL })
}

// counted returns the crashes that count against the part.
func (p *partRecord) counted() map[string]partCrash {
	out := make(map[string]partCrash, len(p.crashes))
	for endpoint, c := range p.crashes {
		if !c.cleared {
			out[endpoint] = c
		}
	}
	return out
}

// newest returns when the newest crash happened.
func (p *partRecord) newest() clock.Time {
	newest := clock.Time(0)
	for _, c := range p.crashes {
		newest = max(newest, c.at)
	}
	return newest
}

// answerCount is a slot of the table of answered parts.
type answerCount struct {
	part   uint64
	count  uint32
	sentAt clock.Time // of the newest request
}

// parts records crashes and answers by prompt part.
type parts struct {
	records map[uint64]*partRecord
	// answered counts answers by part. The slot of a part is its id modulo answerSlots.
	answered    [answerSlots]answerCount
	quarantined map[uint64]bool
	blame       func([]*suspect) map[uint64]bool // decides which parts are quarantined
	judgedAt    clock.Time
	changed     bool // there is evidence that hasn't been judged
	// disputed holds parts of which another VM counts crashes that this one has cleared. They are reported next.
	disputed map[uint64]bool
	// reportedQuarantined and reportedOther are the last parts of the latest report.
	reportedQuarantined, reportedOther uint64
}

func newParts() parts {
	return parts{records: map[uint64]*partRecord{}, quarantined: map[uint64]bool{}, blame: blame, disputed: map[uint64]bool{}}
}

// record records a crash for a part. It returns false if that was known, or is too old to count.
func (p *parts) record(now clock.Time, c Crash, e PartCrash, endpointAnswered bool) bool {
	rec := p.records[e.Part]
	if rec == nil {
		if rec = p.add(now, e.Part); rec == nil {
			return false
		}
	}
	p.merge(now, rec, e)
	if c.Age > crashTTL && !rec.isKept(now) {
		return false
	}
	rec.expire(now)
	known, exists := rec.crashes[c.Endpoint]
	switch {
	case endpointAnswered:
		return false
	case exists && known.cleared && !e.Cleared:
		p.disputed[e.Part] = true
		return false
	case exists && e.Cleared && !known.cleared:
		known.cleared, p.changed = true, true
		rec.crashes[c.Endpoint] = known
		return false
	case exists:
		return false
	}
	at := now.Add(-c.Age)
	rec.crashes[c.Endpoint] = partCrash{at: at, sentAt: now.Add(-e.SentAge), cleared: e.Cleared || at <= rec.answeredAt}
	if rec.triedAt != 0 && rec.crashes[c.Endpoint].sentAt >= rec.triedAt {
		rec.failed++
		rec.triedAt = 0
	}
	rec.limit()
	p.changed = true
	return true
}

// limit deletes the oldest crash if there are too many.
func (p *partRecord) limit() {
	if len(p.crashes) <= maxPartEndpoints {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(p.crashes)), func(x, y string) int {
		return cmp.Compare(p.crashes[x].at, p.crashes[y].at)
	})
	delete(p.crashes, oldest)
}

// merge takes over what another VM knows of the part. A refusal that seems only a little later than the known
// one is the same, later by the transit of messages: VMs that took it over would move it with each message.
func (p *parts) merge(now clock.Time, rec *partRecord, e PartCrash) {
	rec.answers = max(rec.answers, e.Answers)
	if at := now.Add(-e.RefusedAge); e.Refused && at > rec.refusedAt.Add(maxTransit) {
		rec.refusedAt = at
	}
}

// countLost counts a request that was lost at an endpoint that crashed.
func (p *parts) countLost(given []PartCrash) {
	for i := range given {
		if rec := p.records[given[i].Part]; rec != nil {
			rec.lost++
		}
	}
}

// add adds a record. It returns nil if there are too many of parts that have crashed several endpoints.
func (p *parts) add(now clock.Time, part uint64) *partRecord {
	if len(p.records) >= maxParts {
		p.makeRoom(now)
	}
	if len(p.records) >= maxParts {
		return nil
	}
	rec := &partRecord{crashes: map[string]partCrash{}}
	if s := p.answered[part%answerSlots]; s.part == part && s.count > 0 {
		rec.answers, rec.answeredAt = s.count, s.sentAt
	}
	p.records[part] = rec
	return rec
}

// makeRoom deletes records that have expired, and those of a single crash, which affects every request at
// the endpoint.
func (p *parts) makeRoom(now clock.Time) {
	for part, rec := range p.records {
		if rec.expire(now); len(rec.crashes) < 2 && !p.quarantined[part] {
			delete(p.records, part)
		}
	}
}

// recordAnswer counts an answer to a request with the part.
func (p *parts) recordAnswer(sentAt clock.Time, part uint64) {
	slot := &p.answered[part%answerSlots]
	if slot.part != part {
		if slot.count /= 2; slot.count > 0 {
			slot = &answerCount{part: part} // the slot's part has been answered more often
		} else {
			*slot = answerCount{part: part}
		}
	}
	slot.count++
	slot.sentAt = max(slot.sentAt, sentAt)
	rec := p.records[part]
	if rec == nil {
		return
	}
	rec.answers = max(rec.answers+1, slot.count)
	p.clear(rec, sentAt)
}

// clear records that a request with the part was answered that this VM has sent at sentAt. Other VMs are told
// which crashes that clears, not the time: a message that is under way for seconds would make it seem later.
func (p *parts) clear(rec *partRecord, sentAt clock.Time) {
	rec.answeredAt = max(rec.answeredAt, sentAt)
	for endpoint, c := range rec.crashes {
		if !c.cleared && c.at <= sentAt {
			c.cleared, p.changed = true, true
			rec.crashes[endpoint] = c
		}
	}
}

// refute deletes crashes of an endpoint before at, and reports whether it has others.
func (p *parts) refute(at clock.Time, endpoint string) (others bool) {
	for _, rec := range p.records {
		c, found := rec.crashes[endpoint]
		switch {
		case found && c.at < at:
			delete(rec.crashes, endpoint)
			p.changed = true
		case found:
			others = true
		}
	}
	return others
}

// hasCrash reports whether a crash of the endpoint still counts.
func (p *parts) hasCrash(now clock.Time, endpoint string) bool {
	for _, rec := range p.records {
		if c, found := rec.crashes[endpoint]; found && (now.Sub(c.at) <= crashTTL || rec.isKept(now)) {
			return true
		}
	}
	return false
}

// describe adds to e what other VMs should know of its part.
func (p *parts) describe(now clock.Time, e *PartCrash) {
	rec := p.records[e.Part]
	if rec == nil {
		return
	}
	e.Answers = max(e.Answers, rec.answers)
	if rec.refusedAt != 0 {
		e.Refused, e.RefusedAge = true, now.Sub(rec.refusedAt)
	}
}

func (p *parts) count(now clock.Time, part uint64) int {
	rec := p.records[part]
	if rec == nil {
		return 0
	}
	rec.expire(now)
	return len(rec.counted())
}

func (p *parts) needsJudgement(now clock.Time) bool {
	return p.changed || len(p.records) > 0 && now.Sub(p.judgedAt) > judgeInterval
}

// suspects returns the parts under which several endpoints have crashed.
func (p *parts) suspects(now clock.Time) []*suspect {
	var out []*suspect
	for part, rec := range p.records {
		if rec.expire(now); len(rec.crashes) < minRareCrashes {
			continue
		}
		if counted := rec.counted(); len(counted) >= minRareCrashes {
			out = append(out, &suspect{part: true, id: part, crashes: counted, answers: rec.answers, lost: rec.lost})
		}
	}
	return out
}

func (p *parts) setQuarantined(now clock.Time, quarantined map[uint64]bool) {
	p.quarantined, p.judgedAt, p.changed = quarantined, now, false
}

// refused returns the first of the given parts that is quarantined.
func (p *parts) refused(now clock.Time, given []uint64) (part uint64, refuse bool) {
	if len(p.quarantined) == 0 {
		return 0, false
	}
	for _, part := range given {
		if p.quarantined[part] {
			p.records[part].refusedAt = now
			return part, true
		}
	}
	return 0, false
}

// takeTrial reports whether a trial of a quarantined part is due, and starts it.
func (p *parts) takeTrial(now clock.Time, part uint64) bool {
	rec := p.records[part]
	if rec == nil || !p.quarantined[part] {
		return false
	}
	if now.Sub(rec.newest()) < rec.trialDelay() || rec.triedAt != 0 && now.Sub(rec.triedAt) < minTrialInterval {
		return false
	}
	rec.triedAt = now
	return true
}

// trialDelay returns the time between the newest crash and the next trial.
func (p *partRecord) trialDelay() time.Duration {
	delay := rareTrialDelay
	if p.answers > 0 {
		delay = commonTrialDelay
	}
	for range p.failed {
		delay = min(trialBackoff*delay, crashTTL)
	}
	return delay
}

// report returns what other VMs should know of disputed and quarantined parts, and of some of those that have as
// many crashes but were answered as well. Successive calls go through all of them.
func (p *parts) report(now clock.Time) []Crash {
	var others []uint64
	for part, rec := range p.records {
		if len(rec.crashes) >= minRareCrashes && !p.quarantined[part] {
			others = append(others, part)
		}
	}
	chosen := slices.Collect(maps.Keys(p.disputed))
	chosen = chosen[:min(len(chosen), maxReportedParts)]
	clear(p.disputed)
	chosen = append(chosen, nextAfter(slices.Collect(maps.Keys(p.quarantined)), &p.reportedQuarantined, maxReportedParts-1)...)
	chosen = append(chosen, nextAfter(others, &p.reportedOther, 1)...)
	var out []Crash
	for _, part := range chosen {
		out = append(out, p.reportPart(now, part)...)
	}
	return out
}

// nextAfter returns up to n ids that follow *last, starting over at the end, and advances *last to them.
func nextAfter(ids []uint64, last *uint64, n int) []uint64 {
	slices.Sort(ids)
	next, _ := slices.BinarySearch(ids, *last+1)
	ids = append(ids[next:], ids[:next]...)
	ids = ids[:min(n, len(ids))]
	if len(ids) > 0 {
		*last = ids[len(ids)-1]
	}
	return ids
}

// reportPart returns the first crash of a part and its newest ones.
func (p *parts) reportPart(now clock.Time, part uint64) []Crash {
	rec := p.records[part]
	var out []Crash
	for endpoint, c := range rec.crashes {
		if age := now.Sub(c.at); age < crashTTL-minTimeLeft || rec.isKept(now) {
			e := PartCrash{Part: part, SentAge: now.Sub(c.sentAt), Cleared: c.cleared}
			p.describe(now, &e)
			out = append(out, Crash{Endpoint: endpoint, Age: age, Parts: []PartCrash{e}})
		}
	}
	slices.SortFunc(out, func(x, y Crash) int { return cmp.Compare(x.Age, y.Age) })
	if n := len(out); n > maxReportedCrashes {
		out = append(out[:maxReportedCrashes-1], out[n-1])
	}
	return out
}
