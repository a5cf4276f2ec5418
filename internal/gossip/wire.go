package gossip

import (
	"fescuestand/internal/swim"
	"fescuestand/internal/wire"
)

// encodeSender returns a beat whose sender is r.
func encodeSender(r *swim.Record) *wire.Beat {
	return &wire.Beat{
		Incarnation: r.Incarnation, Zone: r.Zone, Caller: r.Caller, Peer: r.Peer, Capacity: r.Capacity,
		Version: r.Version, Ready: r.Ready, Leaving: r.Leaving, Informed: r.TracksCaches, Duty: r.Leader, Requests: r.Requests,
		CutOff: r.CutOff,
	}
}

// decodeSender returns the record that b carries of its sender.
func decodeSender(b *wire.Beat) swim.Record {
	return swim.Record{
		Node: Node{
			Incarnation: b.GetIncarnation(), Zone: b.GetZone(), Caller: b.GetCaller(), Peer: b.GetPeer(), Capacity: b.GetCapacity(),
		},
		Version: b.GetVersion(), Ready: b.GetReady(), Leaving: b.GetLeaving(), TracksCaches: b.GetInformed(), Leader: b.GetDuty(),
		Requests: b.GetRequests(), CutOff: b.GetCutOff(),
	}
}

// encodeProbe returns the beat that carries a membership message.
func encodeProbe(m *swim.Message) *wire.Beat {
	b := encodeSender(&m.From)
	b.Probe = &wire.Probe{Kind: uint32(m.Kind), Seq: m.Seq, Target: m.Target, Digest: m.Digest}
	for i := range m.Updates {
		r := &m.Updates[i]
		b.Members = append(b.Members, &wire.Member{
			Incarnation: r.Incarnation, Zone: r.Zone, Caller: r.Caller, Peer: r.Peer, Capacity: r.Capacity,
			Version: r.Version, Silent: r.Silent, Ready: r.Ready, Leaving: r.Leaving, Informed: r.TracksCaches, Duty: r.Leader,
			Requests: r.Requests, CutOff: r.CutOff,
		})
	}
	return b
}

// decodeProbe returns the membership message that a beat carries.
func decodeProbe(b *wire.Beat) *swim.Message {
	p := b.GetProbe()
	m := &swim.Message{
		From: decodeSender(b), Kind: swim.Kind(p.GetKind()), Seq: p.GetSeq(), Target: p.GetTarget(), Digest: p.GetDigest(),
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
			TracksCaches: r.GetInformed(), Leader: r.GetDuty(), Requests: r.GetRequests(), CutOff: r.GetCutOff(),
		})
	}
	return m
}
