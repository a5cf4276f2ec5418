package gateway

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/era"
	"fescuestand/internal/keyedlog"
	"fescuestand/internal/policy/backpressure"
	"fescuestand/internal/policy/crash"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/truetime"
	"fescuestand/internal/usage"
	"fescuestand/internal/wire"
)

// FuzzBeats receives any message of another VM. None may end the process, and the next one can be filled.
func FuzzBeats(f *testing.F) {
	data, err := proto.Marshal(&wire.Beat{
		Peer: "a", StoreEra: 2, StoreEraMs: 7, WallMs: 5, Requests: 3, Demand: &wire.Demand{PrefillMs: 4, CentiStreams: 5},
		Changes:          []*wire.Change{{Key: "i", Era: 2, Offset: 3, Value: []byte("v")}, {Key: "i", Era: 2, Offset: 4, KeptMs: 9}},
		Outstanding:      []*wire.Outstanding{{Endpoint: place.Key("i"), Running: 3, PendingUs: 1 << 30}},
		Notices:          []*wire.EndpointNotice{{Endpoint: 4, Sent: 1, SaidAgeMs: 2, Limited: true, Limit: 3}},
		Slowdowns:        []*wire.Slowdown{{Endpoint: place.Key("i"), Percent: 300, AgeMs: 4}},
		Held:             []*wire.HeldWork{{Service: 4, WorkMs: []uint32{1, 2}, Requests: []uint32{1}}},
		Crashes:          []*wire.Crash{{Request: 4, Endpoint: "i", AgeMs: 3, Parts: []*wire.PartCrash{{Part: 5}}}},
		LeavingEndpoints: []*wire.LeavingEndpoint{{Id: "i", Born: 1}}, Changing: []string{"i"},
		Cached: []*wire.CachedPrefix{{Endpoint: place.Key("i"), Part: []uint64{1, 2}, Tokens: []uint32{3}}},
		Usage:  []*wire.UsageWindow{{Window: 4, Workspace: []string{"w", "x"}, Requests: []uint32{1}}},
	})
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var b wire.Beat
		if proto.Unmarshal(data, &b) != nil {
			return
		}
		c := &clock.Manual{T: clock.Time(time.Hour)}
		store := catalog.NewStore(c)
		store.SetEndpoint(&catalog.Endpoint{ID: "i", Service: "m", Version: "v", Address: "10.0.0.1:1", Slots: 8, Born: 1})
		follower := keyedlog.New("fleet", nil) // which isn't run
		follower.Apply = func(keyedlog.Entry) bool { return true }
		changes := NewChanges(c, era.NewTracker(c), follower)
		x := &GossipContent{
			Clock: c, Eras: changes.eras, Planner: place.New("z", 1), Pressure: backpressure.New(1), Crashes: crash.New(), Catalog: store,
			Changes: changes, Held: newHeldRequests(), RequestRate: func() float64 { return 1 }, OnOrder: func(string) {},
			OnPeerConfigVersion: func(string, uint64) {}, OnChange: func() {}, Time: truetime.New(c, time.Now), Usage: usage.NewLedger(),
		}
		x.Eras.Observe(era.First, "call")
		x.Planner.SetView(store.View())
		for range 2 {
			x.Receive("a", &b)
			c.T = c.T.Add(time.Second)
			x.Fill(&wire.Beat{})
			x.FillUpdates(&wire.Beat{})
		}
	})
}
