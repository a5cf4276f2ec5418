package swim

import (
	"maps"
	"slices"

	"fescuestand/internal/clock"
)

// NextStepAt is when Step is due.
func (d *Detector) NextStepAt() clock.Time {
	next := min(d.probeAt, d.tableAt)
	if d.pushAt != 0 {
		next = min(next, d.pushAt)
	}
	for _, p := range d.probes {
		next = min(next, d.dueAt(p))
	}
	return next
}

// dueAt is when a probe that isn't answered is looked at again.
func (d *Detector) dueAt(p *probe) clock.Time {
	switch {
	case !p.helped:
		return p.sentAt.Add(helpAfter)
	case d.heardAt < p.sentAt:
		return p.sentAt.Add(judgeAfter)
	}
	return p.sentAt.Add(silentAfter)
}

// Step does what is due.
func (d *Detector) Step(now clock.Time) []Outgoing {
	if now.Sub(d.steppedAt) > probePeriod+lateTick {
		clear(d.probes)
		clear(d.relays)
	}
	d.steppedAt = now
	out := d.judge(now)
	if now >= d.probeAt {
		out = append(out, d.probe(now)...)
	}
	if now >= d.tableAt {
		out = append(out, d.askTable(now)...)
	}
	if d.pushAt != 0 && now >= d.pushAt {
		out = append(out, d.push(now)...)
	}
	return out
}

// judge looks at the probes that weren't answered.
func (d *Detector) judge(now clock.Time) []Outgoing {
	var out []Outgoing
	for _, seq := range slices.Sorted(maps.Keys(d.probes)) {
		p := d.probes[seq]
		switch {
		case now < d.dueAt(p):
		case p.helped:
			delete(d.probes, seq)
			d.DeclareFailed(now, p.peer)
		default:
			p.helped = true
			for _, helper := range d.pick(now, helpers, p.peer) {
				out = append(out, Outgoing{helper, d.message(PingReq, seq, p.peer)})
			}
		}
	}
	for seq, r := range d.relays {
		if now.Sub(r.sentAt) > silentAfter {
			delete(d.relays, seq)
		}
	}
	return out
}

// probe asks the next VM for a sign of life. Silent ones are asked in their turn
// too: they may be back.
func (d *Detector) probe(now clock.Time) []Outgoing {
	d.probeAt = now.Add(probePeriod)
	if d.alarm.raised(now) {
		d.probeAt = now.Add(alarmPeriod)
	}
	d.forget(now)
	peer, ok := d.nextPeer()
	if !ok {
		return nil
	}
	d.seq++
	if e := d.entries[peer]; !e.Silent {
		d.probes[d.seq] = &probe{peer: peer, sentAt: now}
	}
	return []Outgoing{{peer, d.message(Ping, d.seq, "")}}
}

// nextPeer walks through all VMs in a shuffled order, which is shuffled anew after
// each round: each VM is probed within a bounded time.
func (d *Detector) nextPeer() (string, bool) {
	for range len(d.order) + 1 {
		if d.next >= len(d.order) {
			d.reshuffle()
		}
		if len(d.order) == 0 {
			return "", false
		}
		peer := d.order[d.next]
		d.next++
		if d.entries[peer] != nil {
			return peer, true
		}
	}
	return "", false
}

func (d *Detector) reshuffle() {
	d.next = 0
	kept := d.order[:0]
	for _, peer := range d.order {
		if d.entries[peer] != nil {
			kept = append(kept, peer)
		}
	}
	d.order = kept
	d.rand.Shuffle(len(d.order), func(i, j int) { d.order[i], d.order[j] = d.order[j], d.order[i] })
}

// push tells a few VMs what is urgent.
func (d *Detector) push(now clock.Time) []Outgoing {
	d.pushAt = 0
	peers := d.pick(now, pushFanout, "")
	m := Message{From: d.own, Kind: UpdatesOnly, Updates: d.records(d.rumors.urgent())}
	d.pushes = max(d.pushes-1, 0)
	if d.rumors.pressing() || d.pushes > 0 {
		d.pushSoon(now, pushGap)
	}
	out := make([]Outgoing, len(peers))
	for i, peer := range peers {
		out[i] = Outgoing{peer, m}
	}
	return out
}

// pick returns up to n of the VMs that live, at random, without one of them.
func (d *Detector) pick(now clock.Time, n int, without string) []string {
	const triesEach = 4
	var out []string
	for try := 0; try < n*triesEach && len(out) < n && len(d.order) > 0; try++ {
		peer := d.order[d.rand.IntN(len(d.order))]
		e := d.entries[peer]
		if e != nil && peer != without && e.Alive(now) && !slices.Contains(out, peer) {
			out = append(out, peer)
		}
	}
	return out
}

// message carries what is being passed on.
func (d *Detector) message(kind Kind, seq uint32, target string) Message {
	return Message{From: d.own, Kind: kind, Seq: seq, Target: target, Updates: d.records(d.rumors.next())}
}

// records returns the newest records of peers. This VM's own is part of each
// message anyway.
func (d *Detector) records(peers []string) []Record {
	out := make([]Record, 0, len(peers))
	for _, peer := range peers {
		if e := d.entries[peer]; e != nil {
			out = append(out, e.Record)
		}
	}
	return out
}

// Receive takes a message and returns the answers to it.
func (d *Detector) Receive(now clock.Time, m *Message) []Outgoing {
	if m.From.Peer == d.own.Peer {
		return nil
	}
	d.ReceiveRecord(now, m.From)
	for i := range m.Updates {
		d.merge(now, m.Updates[i])
	}
	out := d.answer(now, m)
	if e := d.entries[m.From.Peer]; e.supersedesSender(&m.From) {
		out = append(out, Outgoing{m.From.Peer, Message{From: d.own, Kind: UpdatesOnly, Updates: []Record{e.Record}}})
	}
	return out
}

// supersedesSender tells whether a VM that sent r must hear what others believe of
// it: that it is silent, or what an earlier process of it told.
func (e *Entry) supersedesSender(r *Record) bool {
	return e.Silent && e.Version >= r.Version || e.Version > r.Version
}

func (d *Detector) answer(now clock.Time, m *Message) []Outgoing {
	switch m.Kind {
	case Ping:
		return []Outgoing{{m.From.Peer, d.ack(now, m)}}
	case Ack:
		return d.acked(now, m)
	case PingReq:
		return d.pingFor(now, m)
	case TableRequest:
		return d.table(now, m)
	case TableChunk:
		d.tableAnswered(now, m)
	case UpdatesOnly:
	}
	return nil
}

// ack answers a ping. A newcomer is told of others with it.
func (d *Detector) ack(now clock.Time, m *Message) Message {
	out := d.message(Ack, m.Seq, "")
	if e := d.entries[m.From.Peer]; now.Sub(e.FirstSeenAt) < newFor {
		for _, peer := range d.pick(now, maxUpdates-len(out.Updates), m.From.Peer) {
			out.Updates = append(out.Updates, d.entries[peer].Record)
		}
	}
	return out
}

// acked takes the answer to a probe. One on behalf of another VM is passed on.
func (d *Detector) acked(_ clock.Time, m *Message) []Outgoing {
	delete(d.probes, m.Seq)
	r, ok := d.relays[m.Seq]
	if !ok {
		return nil
	}
	delete(d.relays, m.Seq)
	return []Outgoing{{r.asker, d.message(Ack, r.seq, "")}}
}

// pingFor probes a VM for another one. It answers that one at once too, which shows
// it that it isn't itself cut off.
func (d *Detector) pingFor(now clock.Time, m *Message) []Outgoing {
	d.seq++
	d.relays[d.seq] = relay{asker: m.From.Peer, seq: m.Seq, sentAt: now}
	return []Outgoing{{m.Target, d.message(Ping, d.seq, "")}, {m.From.Peer, Message{From: d.own}}}
}
