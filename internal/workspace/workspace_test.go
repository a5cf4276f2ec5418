package workspace

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func entryOf(name string, keys ...string) Entry { return Entry{Workspace{Name: name}, keys} }

func TestKeysFindTheirWorkspace(t *testing.T) {
	d, err := NewDirectory([]Entry{entryOf("north", "k1", "k2", "k2"), entryOf("south", "k3"), entryOf("idle")})
	assert.NilError(t, err)
	for key, name := range map[string]string{"k1": "north", "k2": "north", "k3": "south"} {
		assert.Equal(t, d.Find(DigestOf(key)).Name, name)
	}
	for _, key := range []string{"", "k", "k4", "K1", "k1 "} {
		assert.Assert(t, d.Find(DigestOf(key)) == nil, "%q", key)
	}
	assert.DeepEqual(t, d.Names(), []string{"north", "south", "idle"})
}

// Guards against a configuration whose keys don't identify one workspace each, and against keys in
// error texts.
func TestBadWorkspacesAreRefusedWithoutTheirKeys(t *testing.T) {
	for _, c := range []struct {
		list []Entry
		want error
	}{
		{[]Entry{entryOf("", "secret")}, ErrNoName},
		{[]Entry{entryOf("a", "secret", "")}, ErrBadKey},
		{[]Entry{entryOf("a", "secret key")}, ErrBadKey},
		{[]Entry{entryOf("a", "secret\n")}, ErrBadKey},
		{[]Entry{entryOf("a", "secret"), entryOf("b", "secret")}, ErrSharedKey},
	} {
		_, err := NewDirectory(c.list)
		assert.Assert(t, errors.Is(err, c.want), "%v", err)
		assert.Assert(t, !strings.Contains(err.Error(), "secret"))
	}
}

func FuzzKeys(f *testing.F) {
	f.Add("a", "b")
	f.Add("", " ")
	f.Fuzz(func(t *testing.T, one, two string) {
		d, err := NewDirectory([]Entry{entryOf("x", one), entryOf("y", two)})
		if err != nil {
			return
		}
		assert.Equal(t, d.Find(DigestOf(one)).Name, "x")
		assert.Equal(t, d.Find(DigestOf(two)).Name, "y")
	})
}

// manyWorkspaces returns n workspaces with two keys each.
func manyWorkspaces(n int) []Entry {
	list := make([]Entry, n)
	for i := range list {
		list[i] = entryOf(fmt.Sprintf("w%05d", i), fmt.Sprintf("key-%05d-one-of-two", i), fmt.Sprintf("key-%05d-two-of-two", i))
	}
	return list
}

func BenchmarkNewDirectory(b *testing.B) {
	list := manyWorkspaces(26000)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := NewDirectory(list); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkFind(b *testing.B) {
	d, err := NewDirectory(manyWorkspaces(26000))
	assert.NilError(b, err)
	for b.Loop() {
		if d.Find(DigestOf("key-12345-one-of-two")) == nil {
			b.Fatal("not found")
		}
	}
}
