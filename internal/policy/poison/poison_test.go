package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
)

func fp(i int) Fingerprint { return Of("m", []byte(fmt.Sprint(i))) }

func seen(i int, engine string) Evidence {
	return Evidence{Fingerprint: fp(i), Crash: Crash{Engine: engine}}
}

func TestVerdicts(t *testing.T) {
	for _, x := range []struct {
		name     string
		evidence []Evidence
		want     map[int]Verdict
	}{
		{"one crash makes suspects", []Evidence{seen(1, "a"), seen(2, "a")}, map[int]Verdict{1: Suspect, 2: Suspect, 3: Clear}},
		{"the second convicts, and clears the neighbour",
			[]Evidence{seen(1, "a"), seen(2, "a"), seen(1, "b")}, map[int]Verdict{1: Guilty, 2: Clear}},
		{"duplicates count once", []Evidence{seen(1, "a"), seen(1, "a"), seen(1, "a")}, map[int]Verdict{1: Suspect}},
		{"a neighbour of two guilty requests is clear",
			[]Evidence{seen(1, "a"), seen(1, "b"), seen(2, "c"), seen(2, "d"), seen(3, "a"), seen(3, "c")},
			map[int]Verdict{1: Guilty, 2: Guilty, 3: Clear}},
		{"always together are both given up",
			[]Evidence{seen(1, "a"), seen(2, "a"), seen(1, "b"), seen(2, "b")}, map[int]Verdict{1: Guilty, 2: Guilty}},
	} {
		tr := New(Config{})
		tr.Add(1, x.evidence...)
		for i, v := range x.want {
			assert.Equal(t, tr.Verdict(1, fp(i)), v, "%s: request %d", x.name, i)
		}
		assert.Equal(t, tr.Verdict(clock.Time(1).Add(defaultExpiry), fp(1)), Clear, x.name)
	}
}

func TestSuspectRunsOnceAtATime(t *testing.T) {
	tr := New(Config{})
	tr.Add(1, seen(1, "a"), seen(2, "a"))
	_, err := tr.Start(1, fp(1), "b")
	assert.NilError(t, err)
	_, err = tr.Start(1, fp(1), "c")
	assert.Equal(t, code.Of(err).Code, code.HotKey)
	_, err = tr.Start(1, fp(2), "b")
	assert.Equal(t, code.Of(err).Code, code.NoEndpoint)
	_, err = tr.Start(1, fp(2), "c")
	assert.NilError(t, err)
	tr.End(1, fp(1), "b", true)
	tr.Add(1, seen(1, "a")) // late
	assert.Equal(t, tr.Verdict(1, fp(1)), Clear)
	tr.Add(1, seen(2, "c"))
	_, err = tr.Start(1, fp(2), "d")
	assert.Equal(t, code.Of(err).Code, code.Poison)
}

// cell is a set of engines that crash when they run request 0, and entries
// that learn of it late and more than once.
type cell struct {
	rng      *rand.Rand
	trackers []*Tracker
	pending  [][]Evidence
	engines  []map[int]int // running requests, by entry
	crashes  []uint64
	lost     int
	seen     map[int]int // crashes by request
}

// send runs request i somewhere, at the owner once it is a suspect.
func (c *cell) send(i int) {
	at := c.rng.IntN(len(c.trackers))
	if c.trackers[at].Verdict(1, fp(i)) != Clear {
		_, _ = fmt.Sscan(Owner(fp(i), []string{"0", "1", "2"}), &at)
	}
	e := c.rng.IntN(len(c.engines))
	if _, err := c.trackers[at].Start(1, fp(i), fmt.Sprint(e)); err != nil {
		return
	}
	c.engines[e][i] = at
	if i == 0 {
		c.crash(e)
	}
}

func (c *cell) crash(e int) {
	c.lost++
	c.crashes[e]++
	for i, at := range c.engines[e] {
		c.seen[i]++
		c.trackers[at].End(1, fp(i), fmt.Sprint(e), false)
		ev := Evidence{Fingerprint: fp(i), Crash: Crash{fmt.Sprint(e), c.crashes[e]}}
		for n, tr := range c.trackers {
			tr.Add(1, ev)
			if c.rng.IntN(2) == 0 {
				c.pending[n] = append(c.pending[n], ev)
			}
		}
	}
	clear(c.engines[e])
}

func (c *cell) finish() {
	e := c.rng.IntN(len(c.engines))
	for i, at := range c.engines[e] {
		delete(c.engines[e], i)
		cleared := c.trackers[at].End(1, fp(i), fmt.Sprint(e), true)
		for n := range c.trackers {
			c.pending[n] = append(c.pending[n], cleared...)
		}
		return
	}
}

func newCell(seed uint64, off bool) *cell {
	c := &cell{rng: rand.New(rand.NewPCG(seed, 1)), seen: map[int]int{}, crashes: make([]uint64, 6), pending: make([][]Evidence, 3)}
	for range 6 {
		c.engines = append(c.engines, map[int]int{})
	}
	for range 3 {
		c.trackers = append(c.trackers, New(Config{Off: off}))
	}
	return c
}

func (c *cell) play(steps int) {
	for range steps {
		switch c.rng.IntN(4) {
		case 0:
			c.send(0)
		case 1:
			c.finish()
		default:
			c.send(1 + c.rng.IntN(30))
		}
		for n, tr := range c.trackers {
			if len(c.pending[n]) > 0 && c.rng.IntN(3) == 0 {
				tr.Add(1, c.pending[n]...)
				c.pending[n] = nil
			}
		}
	}
}

// A caller sends one request again and again, to any entry. Each engine that
// runs it crashes with the streams of its neighbours; entries hear of it more
// than once. Two engines are lost, and no neighbour of one crash is refused.
func TestTwoEnginesAtMost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCell(rapid.Uint64().Draw(rt, "seed"), false)
		c.play(400)
		assert.Assert(rt, c.lost <= 2, "%d engines lost", c.lost)
		for n, tr := range c.trackers {
			tr.Add(1, c.pending[n]...)
		}
		for i := 1; i <= 30; i++ {
			for _, tr := range c.trackers {
				assert.Assert(rt, c.seen[i] > 1 || tr.Verdict(1, fp(i)) != Guilty, "neighbour %d", i)
			}
		}
	})
	c := newCell(1, true)
	c.play(400)
	t.Logf("with the guard off: %d engines lost", c.lost)
	assert.Assert(t, c.lost > 20)
}

func TestNewEntryLearnsVerdicts(t *testing.T) {
	old, fresh := New(Config{}), New(Config{})
	old.Add(1, seen(1, "a"), seen(1, "b"))
	fresh.Add(1000, old.Evidence(clock.Time(1).Add(time.Minute))...)
	assert.Equal(t, fresh.Verdict(1000, fp(1)), Guilty)
	assert.Equal(t, fresh.Verdict(clock.Time(1000).Add(defaultExpiry-time.Minute), fp(1)), Clear)
}
