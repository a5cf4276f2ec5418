package fold

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/code"
	"fescuestand/internal/wire"
)

// sheetText returns a valid sheet with the given note.
func sheetText(note string) []byte {
	return fmt.Appendf(nil, `{"deployment": "d", "note": %q, "engines": [], "pools": [],
		"classes": [{"name": "c", "priority": 1, "deadline": "8s", "first_token": "1s", "between_tokens": "50ms", "objective": 0.9}],
		"limits": {"max_body": 1, "max_tokens": 1, "workspace_share": 1, "commit_window": "1h", "queue_per_engine": 1}}`, note)
}

func publishEntry(base uint64, id string, body []byte) *wire.Entry {
	return &wire.Entry{Kind: &wire.Entry_Sheet{Sheet: &wire.Sheet{Base: base, PublishId: id, Body: body}}}
}

func patchEntry(base uint64, id, body string) *wire.Entry {
	return &wire.Entry{Kind: &wire.Entry_Patch{Patch: &wire.Patch{Base: base, PublishId: id, Body: []byte(body)}}}
}

func claimEntry(scope string, token, renewal uint64) *wire.Entry {
	return &wire.Entry{Kind: &wire.Entry_Claim{Claim: &wire.Claim{Scopes: []*wire.ScopeClaim{
		{Scope: scope, SeenToken: token, SeenRenewal: renewal},
	}}}}
}

func heartbeatEntry() *wire.Entry {
	return &wire.Entry{Kind: &wire.Entry_Heartbeat{Heartbeat: &wire.Heartbeat{}}}
}

func releaseEntry(scope string) *wire.Entry {
	return &wire.Entry{Kind: &wire.Entry_Release{Release: &wire.Release{Scopes: []string{scope}}}}
}

func item(offset uint64, writer string, seq uint64, e *wire.Entry) Item {
	return Item{Offset: offset, Writer: writer, VM: "vm-" + writer, Seq: seq, Entry: e, Time: time.Unix(int64(offset), 0)}
}

func TestPublishNeedsTheCurrentBaseAndAValidSheet(t *testing.T) {
	c := NewConfig(1)
	c.Apply(item(1, "a", 1, publishEntry(0, "p1", sheetText("one"))))
	c.Apply(item(2, "b", 1, publishEntry(0, "p2", sheetText("two"))))
	c.Apply(item(3, "a", 2, publishEntry(1, "p3", []byte(`{}`))))
	c.Apply(item(4, "b", 2, patchEntry(1, "p4", `{"note": "four"}`)))
	c.Apply(item(5, "b", 3, patchEntry(4, "p5", `[]`)))
	c.Apply(item(6, "b", 4, publishEntry(6, "p6", sheetText("own offset"))))
	assert.Equal(t, c.Current().Version, uint64(4))
	assert.Equal(t, c.Current().Sheet.Note, "four")
	for id, want := range map[string]code.Code{
		"p1": code.OK, "p2": code.RacingPublish, "p3": code.BadSheet, "p4": code.OK,
		"p5": code.BadPatch, "p6": code.RacingPublish,
	} {
		assert.Equal(t, code.Code(c.Verdict(id).Code), want, id)
	}
	assert.Assert(t, c.Verdict("p9") == nil)
}

// Guards against applying a publish twice. The answer to the first append is lost, so the publisher
// retries and gets a verdict, and another operator publishes. Then the first copy appears in the
// log.
func TestLateCopyOfAPublishChangesNothing(t *testing.T) {
	c := NewConfig(1)
	c.Apply(item(1, "a", 1, publishEntry(0, "p1", sheetText("one"))))
	c.Apply(item(2, "b", 1, publishEntry(1, "p2", sheetText("two"))))
	c.Apply(item(3, "a", 1, publishEntry(0, "p1", sheetText("one"))))
	assert.Equal(t, c.Current().Version, uint64(2))
	assert.Assert(t, c.Verdict("p1").Accepted)
}

// Guards against applying an abandoned publish. The answer is lost, the publisher reports the
// publish as abandoned and appends another record. Then the abandoned record appears, with a base
// that is still current.
func TestAbandonedRecordIsIgnored(t *testing.T) {
	run := func(disabled disabledGuards) uint64 {
		c := NewConfig(1)
		c.disabled = disabled
		c.Apply(item(1, "a", 2, publishEntry(9, "settle", sheetText("refused"))))
		c.Apply(item(2, "a", 1, publishEntry(0, "given-up", sheetText("late"))))
		return c.Current().Version
	}
	assert.Equal(t, run(disabledGuards{}), uint64(0))
	assert.Equal(t, run(disabledGuards{dedup: true}), uint64(2), "without the guard the late record counts")
}

// Guards against two holders of one engine. Holder w stalls, and x concludes from its read that w's
// lease has expired. w's renewal reaches the log after x's read and before x's claim; if the claim
// succeeded, both would send orders.
func TestClaimFailsAfterUnseenRenewal(t *testing.T) {
	run := func(disabled disabledGuards) string {
		a := NewAuthority(1)
		a.disabled = disabled
		a.Apply(item(1, "w", 1, claimEntry("e", 0, 0)))
		a.Apply(item(2, "w", 2, heartbeatEntry()))
		a.Apply(item(3, "x", 1, claimEntry("e", 1, 1)))
		h, _ := a.Get("e")
		return h.Writer
	}
	assert.Equal(t, run(disabledGuards{}), "w")
	assert.Equal(t, run(disabledGuards{renewalCheck: true}), "x", "without the guard the holder loses a live lease")
}

func TestClaimAfterLapseAndLateRenewal(t *testing.T) {
	a := NewAuthority(1)
	a.Apply(item(1, "w", 1, claimEntry("e", 0, 0)))
	a.Apply(item(2, "x", 1, claimEntry("e", 1, 1)))
	a.Apply(item(3, "w", 2, heartbeatEntry()))
	a.Apply(item(4, "w", 3, releaseEntry("e")))
	h, _ := a.Get("e")
	assert.DeepEqual(t, h, Holding{Scope: "e", Writer: "x", VM: "vm-x", Token: 2, Renewal: 2})
	a.Apply(item(5, "x", 2, releaseEntry("e")))
	a.Apply(item(6, "y", 1, claimEntry("e", 2, 2)))
	a.Apply(item(7, "y", 2, claimEntry("e", 2, 5)))
	h, _ = a.Get("e")
	assert.Equal(t, h.Token, uint64(7))
}

// Guards against releasing an engine that is still in use. w releases it, the answer is lost, and w
// keeps renewing, which makes the release void. If the release took effect when it appears in the
// log, another process could claim the engine while w still sends orders.
func TestLateReleaseOfALiveHolderIsDropped(t *testing.T) {
	run := func(disabled disabledGuards) bool {
		a := NewAuthority(1)
		a.disabled = disabled
		a.Apply(item(1, "w", 1, claimEntry("e", 0, 0)))
		a.Apply(item(2, "w", 3, heartbeatEntry()))
		a.Apply(item(3, "w", 2, releaseEntry("e")))
		h, _ := a.Get("e")
		return h.Released
	}
	assert.Assert(t, !run(disabledGuards{}))
	assert.Assert(t, run(disabledGuards{dedup: true}))
}

// Guards against a diverging reader. The append of a checkpoint is so slow that the publishes after
// its state have expired when it appears. A process that starts now and uses it would accept a
// publish that all others rejected.
func TestCheckpointAcrossAGapIsIgnored(t *testing.T) {
	full := NewConfig(1)
	full.Apply(item(1, "a", 1, publishEntry(0, "p1", sheetText("one"))))
	oldCheckpoint := full.Checkpoint()
	rest := []Item{
		item(2, "a", 2, publishEntry(1, "p2", sheetText("two"))),
		item(3, "c", 1, &wire.Entry{Kind: &wire.Entry_ConfigCheckpoint{ConfigCheckpoint: oldCheckpoint}}),
		item(4, "b", 1, publishEntry(1, "p3", sheetText("three"))),
	}
	run := func(disabled disabledGuards) *Config {
		lateReader := NewConfig(3)
		lateReader.disabled = disabled
		for _, it := range rest[1:] {
			lateReader.Apply(it)
		}
		return lateReader
	}
	for _, it := range rest {
		full.Apply(it)
	}
	assert.Equal(t, full.Current().Version, uint64(2))
	assert.Assert(t, !run(disabledGuards{}).Established())
	assert.Equal(t, run(disabledGuards{gapCheck: true}).Current().Version, uint64(4), "without the guard the reader diverges")
}

func FuzzDecode(f *testing.F) {
	good, err := Encode("w", "vm", 1, []*wire.Entry{publishEntry(0, "p", sheetText("x")), heartbeatEntry()})
	assert.NilError(f, err)
	f.Add(good)
	f.Add([]byte{8, 1, 0x2a, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		items, err := Decode(1, time.Time{}, data)
		if err != nil {
			return
		}
		c, a := NewConfig(1), NewAuthority(1)
		for _, it := range items {
			c.Apply(it)
			a.Apply(it)
		}
		assert.Assert(t, c.Checkpoint() != nil && a.Checkpoint() != nil)
	})
}
