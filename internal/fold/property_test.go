package fold

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fescuestand/internal/wire"
)

// randomConfigStream generates a stream with racing, duplicated, late and unknown records.
func randomConfigStream(t *rapid.T) []Item {
	n := rapid.IntRange(1, 40).Draw(t, "records")
	full, items := NewConfig(1), []Item{}
	seqs := map[string]uint64{}
	for off := uint64(1); off <= uint64(n); off++ {
		w := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "writer")
		seqs[w]++
		it := item(off, w, seqs[w], nil)
		base := uint64(rapid.IntRange(0, int(off)).Draw(t, "base"))
		if rapid.Bool().Draw(t, "current") {
			base = full.Current().Version
		}
		id := fmt.Sprint("p", rapid.IntRange(0, 30).Draw(t, "id"))
		switch rapid.IntRange(0, 5).Draw(t, "kind") {
		case 0:
			it.Entry = publishEntry(base, id, sheetText(id))
		case 1:
			it.Entry = patchEntry(base, id, rapid.SampledFrom([]string{
				`{"note": "p"}`, `{"classes": {"c": {"priority": 2}}}`, `{"classes": {"c": {"objective": 2}}}`, `7`,
			}).Draw(t, "patch"))
		case 2:
			it.Entry = &wire.Entry{}
		case 3:
			it.Entry = publishEntry(base, id, []byte("{"))
		case 4:
			it.Entry = &wire.Entry{Kind: &wire.Entry_ConfigCheckpoint{ConfigCheckpoint: full.Checkpoint()}}
		case 5:
			if len(items) > 0 {
				it = rapid.SampledFrom(items).Draw(t, "copy")
				it.Offset = off
			} else {
				it.Entry = &wire.Entry{}
			}
		}
		items = append(items, it)
		full.Apply(it)
	}
	return items
}

func TestConfigCheckpointAndTailEqualTheWholeLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		items := randomConfigStream(t)
		from := uint64(rapid.IntRange(1, len(items)).Draw(t, "from"))
		full, lateReader := NewConfig(1), NewConfig(from)
		last := uint64(0)
		for _, it := range items {
			full.Apply(it)
			if it.Offset >= from {
				lateReader.Apply(it)
			}
			assert.Assert(t, full.Current().Version >= last, "version decreased")
			last = full.Current().Version
			if lateReader.Established() {
				assert.Assert(t, proto.Equal(full.Checkpoint(), lateReader.Checkpoint()))
			}
		}
	})
}

func randomAuthorityStream(t *rapid.T) []Item {
	n := rapid.IntRange(1, 60).Draw(t, "records")
	full, items := NewAuthority(1), []Item{}
	seqs := map[string]uint64{}
	scopes := []string{"e1", "e2", "e3"}
	for off := uint64(1); off <= uint64(n); off++ {
		w := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "writer")
		seqs[w]++
		it := item(off, w, seqs[w], &wire.Entry{})
		scope := rapid.SampledFrom(scopes).Draw(t, "scope")
		switch rapid.IntRange(0, 6).Draw(t, "kind") {
		case 6:
			it.Entry = &wire.Entry{Kind: &wire.Entry_AuthorityCheckpoint{AuthorityCheckpoint: &wire.AuthorityCheckpoint{Begin: true}}}
		case 0, 1:
			h, _ := full.Get(scope)
			it.Entry = claimEntry(scope, h.Token, h.Renewal)
		case 2:
			it.Entry = heartbeatEntry()
		case 3:
			it.Entry = releaseEntry(scope)
		case 4:
			it.Entry = &wire.Entry{Kind: &wire.Entry_AuthorityCheckpoint{AuthorityCheckpoint: full.Checkpoint()}}
		case 5:
			if len(items) > 0 {
				it = rapid.SampledFrom(items).Draw(t, "copy")
				it.Offset = off
			}
		}
		items = append(items, it)
		full.Apply(it)
	}
	return items
}

func TestAuthorityCheckpointAndTailEqualTheWholeLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		items := randomAuthorityStream(t)
		from := uint64(rapid.IntRange(1, len(items)).Draw(t, "from"))
		full, lateReader := NewAuthority(1), NewAuthority(from)
		tokens := map[string]uint64{}
		for _, it := range items {
			full.Apply(it)
			if it.Offset >= from {
				lateReader.Apply(it)
			}
			for _, h := range full.Holdings() {
				assert.Assert(t, h.Token >= tokens[h.Scope], "token decreased")
				tokens[h.Scope] = h.Token
			}
			if lateReader.Established() {
				assert.Assert(t, proto.Equal(full.Checkpoint(), lateReader.Checkpoint()))
			}
		}
	})
}
