package gossip

import (
	"fescuestand/internal/swim"
	"fescuestand/internal/wire"
)

// beatOf returns a beat whose sender is r.
func beatOf(r *swim.Record) *wire.Beat {
	return &wire.Beat{
		Incarnation: r.Incarnation, Zone: r.Zone, Caller: r.Caller, Peer: r.Peer, Capacity: r.Capacity,
		Version: r.Version, Ready: r.Ready, Leaving: r.Leaving, Informed: r.TracksCaches, Duty: r.Leader, Requests: r.Requests,
	}
}

// senderOf is what b tells of its sender.
func senderOf(b *wire.Beat) swim.Record {
	return swim.Record{
		Node: Node{
			Incarnation: b.GetIncarnation(), Zone: b.GetZone(), Caller: b.GetCaller(), Peer: b.GetPeer(), Capacity: b.GetCapacity(),
		},
		Version: b.GetVersion(), Ready: b.GetReady(), Leaving: b.GetLeaving(), TracksCaches: b.GetInformed(), Leader: b.GetDuty(),
		Requests: b.GetRequests(),
	}
}

// probeBeat writes a message of the list.
func probeBeat(m *swim.Message) *wire.Beat {
	b := beatOf(&m.From)
	b.Probe = &wire.Probe{Kind: uint32(m.Kind), Seq: m.Seq, Target: m.Target, Digest: m.Digest}
	for i := range m.Updates {
		r := &m.Updates[i]
		b.Members = append(b.Members, &wire.Member{
			Incarnation: r.Incarnation, Zone: r.Zone, Caller: r.Caller, Peer: r.Peer, Capacity: r.Capacity,
			Version: r.Version, Silent: r.Silent, Ready: r.Ready, Leaving: r.Leaving, Informed: r.TracksCaches, Duty: r.Leader,
			Requests: r.Requests,
		})
	}
	return b
}

// probeOf reads a message of the list.
func probeOf(b *wire.Beat) *swim.Message {
	p := b.GetProbe()
	m := &swim.Message{
		From: senderOf(b), Kind: swim.Kind(p.GetKind()), Seq: p.GetSeq(), Target: p.GetTarget(), Digest: p.GetDigest(),
	}
	for _, r := range b.GetMembers() {
		if r.GetPeer() == "" {
			continue
		}
		m.Updates = append(m.Updates, swim.Record{
			Node: Node{
				Incarnation: r.GetIncarnation(), Zone: r.GetZone(), Caller: r.GetCaller(), Peer: r.GetPeer(), Capacity: r.GetCapacity(),
			},
			Version: r.GetVersion(), Silent: r.GetSilent(), Ready: r.GetReady(), Leaving: r.GetLeaving(),
			TracksCaches: r.GetInformed(), Leader: r.GetDuty(), Requests: r.GetRequests(),
		})
	}
	return m
}
