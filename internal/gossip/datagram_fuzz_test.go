package gossip

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"fescuestand/internal/swim"
	"fescuestand/internal/wire"
)

// FuzzDatagrams receives any datagram that can be decoded. None may end the process.
func FuzzDatagrams(f *testing.F) {
	r := swim.Record{Node: node(1), Version: 3, Ready: true}
	for _, b := range []*wire.Beat{
		encodeSender(&r),
		encodeProbe(&swim.Message{From: r, Kind: 1, Seq: 2, Target: node(2).Peer, Updates: []swim.Record{{Node: node(2), Version: 4, Silent: true}}}),
	} {
		b.ReadAgeMs, b.NewestReadMs = 4, 5
		data, err := proto.Marshal(b)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var b wire.Beat
		if proto.Unmarshal(data, &b) != nil || b.GetPeer() == "" {
			return
		}
		c, m := newMembers()
		m.MergeListed([]Node{node(1)})
		for range 3 {
			m.mergeNewestRead(b.GetNewestReadMs())
			if b.GetProbe() != nil {
				m.receiveProbe(decodeProbe(&b))
			} else {
				m.receiveLoad(loadReport{Record: decodeSender(&b), readAgeMs: b.GetReadAgeMs(), busy: true})
			}
			m.step()
			m.AdvertisedAddresses("")
			m.ReadInterval()
			c.T = c.T.Add(time.Second)
		}
	})
}
