package swim

import (
	"maps"
	"slices"

	"fescuestand/internal/clock"
)

// NextStepAt returns when Step is due.
func (d *Detector) NextStepAt() clock.Time {
	next := min(d.probeAt, d.tableAt)
	if d.pushAt != 0 {
		next = min(next, d.pushAt)
	}
	for _, p := range d.probes {
		next = min(next, d.checkDueAt(p))
	}
	return next
}

// checkDueAt returns when an unanswered probe is to be checked next.
func (d *Detector) checkDueAt(p *probe) clock.Time {
	switch {
	case !p.pingReqSent:
		return p.sentAt.Add(pingReqDelay)
	case d.receivedAt < p.sentAt:
		return p.sentAt.Add(isolatedProbeTimeout)
	}
	return p.sentAt.Add(probeTimeout)
}

// Step checks outstanding probes and sends the probes, table requests and pushes that are due.
func (d *Detector) Step(now clock.Time) []Outgoing {
	if now.Sub(d.steppedAt) > probePeriod+maxStepDelay {
		clear(d.probes)
		clear(d.relays)
	}
	d.steppedAt = now
	out := d.checkProbes(now)
	if now >= d.probeAt {
		out = append(out, d.probe(now)...)
	}
	if now >= d.tableAt {
		out = append(out, d.requestTable(now)...)
	}
	if d.pushAt != 0 && now >= d.pushAt {
		out = append(out, d.push(now)...)
	}
	return out
}

// checkProbes handles unanswered probes: it first asks other VMs to probe the target and later
// declares the target failed.
func (d *Detector) checkProbes(now clock.Time) []Outgoing {
	var out []Outgoing
	for _, seq := range slices.Sorted(maps.Keys(d.probes)) {
		p := d.probes[seq]
		switch {
		case now < d.checkDueAt(p):
		case p.pingReqSent:
			delete(d.probes, seq)
			d.DeclareFailed(now, p.peer)
		default:
			p.pingReqSent = true
			for _, helper := range d.samplePeers(now, pingReqFanout, p.peer) {
				out = append(out, Outgoing{helper, d.message(PingReq, seq, p.peer)})
			}
		}
	}
	for seq, r := range d.relays {
		if now.Sub(r.sentAt) > probeTimeout {
			delete(d.relays, seq)
		}
	}
	return out
}

// probe pings the next VM. VMs that were declared failed are pinged in their turn too, as they may
// have come back.
func (d *Detector) probe(now clock.Time) []Outgoing {
	d.probeAt = now.Add(probePeriod)
	if d.churn.active(now) {
		d.probeAt = now.Add(churnProbePeriod)
	}
	d.evictExpired(now)
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

// nextPeer iterates over all VMs in a shuffled order and reshuffles it after each round, so that
// each VM is probed within a bounded time.
func (d *Detector) nextPeer() (string, bool) {
	for range len(d.order) + 1 {
		if d.nextIndex >= len(d.order) {
			d.reshuffle()
		}
		if len(d.order) == 0 {
			return "", false
		}
		peer := d.order[d.nextIndex]
		d.nextIndex++
		if d.entries[peer] != nil {
			return peer, true
		}
	}
	return "", false
}

func (d *Detector) reshuffle() {
	d.nextIndex = 0
	kept := d.order[:0]
	for _, peer := range d.order {
		if d.entries[peer] != nil {
			kept = append(kept, peer)
		}
	}
	d.order = kept
	d.rand.Shuffle(len(d.order), func(i, j int) { d.order[i], d.order[j] = d.order[j], d.order[i] })
}

// push sends the urgent records to a few VMs.
func (d *Detector) push(now clock.Time) []Outgoing {
	d.pushAt = 0
	peers := d.samplePeers(now, pushFanout, "")
	m := Message{From: d.own, Kind: UpdatesOnly, Updates: d.records(d.rumors.urgentBatch())}
	d.forcedPushes = max(d.forcedPushes-1, 0)
	if d.rumors.hasUrgent() || d.forcedPushes > 0 {
		d.schedulePush(now, pushGap)
	}
	out := make([]Outgoing, len(peers))
	for i, peer := range peers {
		out[i] = Outgoing{peer, m}
	}
	return out
}

// samplePeers returns up to n live VMs, chosen at random, other than excluded.
func (d *Detector) samplePeers(now clock.Time, n int, excluded string) []string {
	const triesEach = 4
	var out []string
	for try := 0; try < n*triesEach && len(out) < n && len(d.order) > 0; try++ {
		peer := d.order[d.rand.IntN(len(d.order))]
		e := d.entries[peer]
		if e != nil && peer != excluded && e.Alive(now) && !slices.Contains(out, peer) {
			out = append(out, peer)
		}
	}
	return out
}

// message returns a message that carries the next batch of rumors.
func (d *Detector) message(kind Kind, seq uint32, target string) Message {
	return Message{From: d.own, Kind: kind, Seq: seq, Target: target, Updates: d.records(d.rumors.nextBatch())}
}

// records returns the newest records of peers. This VM's own record is part of each message anyway.
func (d *Detector) records(peers []string) []Record {
	out := make([]Record, 0, len(peers))
	for _, peer := range peers {
		if e := d.entries[peer]; e != nil {
			out = append(out, e.Record)
		}
	}
	return out
}

// Receive handles a message and returns the answers to it.
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

// supersedesSender reports whether the VM that sent r must be sent the record that others hold of
// it: one that declares it failed, or a newer one of an earlier process.
func (e *Entry) supersedesSender(r *Record) bool {
	return e.Silent && e.Version >= r.Version || e.Version > r.Version
}

func (d *Detector) answer(now clock.Time, m *Message) []Outgoing {
	switch m.Kind {
	case Ping:
		return []Outgoing{{m.From.Peer, d.ack(now, m)}}
	case Ack:
		return d.receiveAck(now, m)
	case PingReq:
		return d.relayPing(now, m)
	case TableRequest:
		return d.tableChunks(now, m)
	case TableChunk:
		d.receiveTable(now, m)
	case UpdatesOnly:
	}
	return nil
}

// ack answers a ping. Acks to a new VM carry additional records.
func (d *Detector) ack(now clock.Time, m *Message) Message {
	out := d.message(Ack, m.Seq, "")
	if e := d.entries[m.From.Peer]; now.Sub(e.FirstSeenAt) < newcomerPeriod {
		for _, peer := range d.samplePeers(now, maxUpdatesPerMessage-len(out.Updates), m.From.Peer) {
			out.Updates = append(out.Updates, d.entries[peer].Record)
		}
	}
	return out
}

// receiveAck handles the answer to a probe. The answer to a relayed probe is passed on to the VM
// that asked for it.
func (d *Detector) receiveAck(_ clock.Time, m *Message) []Outgoing {
	delete(d.probes, m.Seq)
	r, ok := d.relays[m.Seq]
	if !ok {
		return nil
	}
	delete(d.relays, m.Seq)
	return []Outgoing{{r.asker, d.message(Ack, r.seq, "")}}
}

// relayPing probes a VM on behalf of the sender of m. It also answers the sender at once, which
// shows the sender that it isn't isolated itself.
func (d *Detector) relayPing(now clock.Time, m *Message) []Outgoing {
	d.seq++
	d.relays[d.seq] = relay{asker: m.From.Peer, seq: m.Seq, sentAt: now}
	return []Outgoing{{m.Target, d.message(Ping, d.seq, "")}, {m.From.Peer, Message{From: d.own}}}
}
