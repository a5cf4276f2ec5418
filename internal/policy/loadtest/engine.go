package loadtest

import (
	"slices"
	"time"

	"fescuestand/internal/clock"
)

// Role says which part of the work an engine takes.
type Role int

// The roles of an engine.
const (
	Mixed Role = iota
	Prefill
	Decode
)

func (r Role) String() string { return [...]string{"mixed", "prefill", "decode"}[r] }

// State says whether an engine takes work.
type State int

// The states of an engine.
const (
	Ready State = iota
	Draining
	Changing
	Down
)

func (s State) String() string { return [...]string{"ready", "draining", "changing", "down"}[s] }

// BlockTokens is the size of one piece of the engines' prefix cache.
const BlockTokens = 2000

// EngineModel holds the speeds of one engine. A step takes
// StepBase + StepPerStream*streams for decoding, plus chunk/PrefillRate for the
// chunk of prompt tokens in it, so that on a mixed engine each prefill chunk
// delays every stream.
type EngineModel struct {
	PrefillRate   float64 // tokens a second
	StepBase      time.Duration
	StepPerStream time.Duration
	MaxBatch      int
	PrefillChunk  int // prompt tokens in one step of a prefill engine
	MixedChunk    int // prompt tokens in one step of a mixed engine
	CacheBlocks   int
	KVTransferRate        float64 // tokens a second moved to another engine
	KVTransferSetup       time.Duration
	RoleChangeTime    time.Duration // away for a role change, after draining
}

// DecodeRate returns the tokens a second of a full batch.
func (m EngineModel) DecodeRate() float64 {
	step := m.StepBase + time.Duration(m.MaxBatch)*m.StepPerStream
	return float64(m.MaxBatch) / step.Seconds()
}

// cost returns the engine seconds of one request of the class.
func (m EngineModel) cost(c Class) float64 {
	return float64(c.Prompt)/m.PrefillRate + float64(c.Output)/m.DecodeRate()
}

// job is one attempt at a request.
type job struct {
	req    *Request
	entry  *entry
	at     int // engine
	left   int // prompt tokens to compute
	tokens int // output tokens sent
	first  clock.Time
	done   bool
}

// chunk is the share of one prompt in the step under way.
type chunk struct {
	job    *job
	tokens int
}

type engine struct {
	id    int
	zone  int
	role  Role
	to    Role
	state State
	model EngineModel
	slow  float64
	fails bool // answers an error at once
	epoch int  // raised by a crash, so that steps under way are lost

	waiting []*job // for prefill
	ready   []*job // prefilled, for a place in the batch
	running []*job
	stepped bool
	chunks  []chunk
	cache   prefixCache

	stepTime time.Duration
	run      *run
}

func (e *engine) waitingTokens() int {
	n := 0
	for _, j := range e.waiting {
		n += j.left
	}
	return n
}

// prefill queues a job behind those of the same or a higher priority.
func (e *engine) prefill(j *job) {
	hit := min(e.cache.pieces(j.req.Key)*BlockTokens, j.req.Prefix)
	j.left = max(j.req.Prompt-hit, 1)
	e.run.counted(j.req.Prompt, j.left)
	i, _ := slices.BinarySearchFunc(e.waiting, j, func(a, b *job) int {
		if a.req.Priority >= b.req.Priority {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, i, j)
	e.step()
}

func (e *engine) decode(j *job) {
	e.ready = append(e.ready, j)
	e.step()
}

// step starts the next step unless one is under way or there is no work.
func (e *engine) step() {
	if e.stepped || e.state == Changing || e.state == Down {
		return
	}
	room := min(e.model.MaxBatch-len(e.running), len(e.ready))
	e.running = append(e.running, e.ready[:room]...)
	e.ready = slices.Delete(e.ready, 0, room)
	chunk := e.plan()
	if len(e.running) == 0 && chunk == 0 {
		e.run.drained(e)
		return
	}
	var d time.Duration
	if n := len(e.running); n > 0 {
		d = e.model.StepBase + time.Duration(n)*e.model.StepPerStream
	}
	d += seconds(float64(chunk) / e.model.PrefillRate)
	d = time.Duration(float64(d) * e.slow)
	e.stepTime = d
	e.stepped = true
	epoch := e.epoch
	e.run.loop.After(d, func() {
		if epoch != e.epoch {
			return
		}
		e.emit()
		e.computed()
		e.stepped = false
		e.step()
	})
}

// plan fills the next step with prompt tokens and returns their number.
func (e *engine) plan() int {
	e.chunks = e.chunks[:0]
	room := e.model.MixedChunk
	switch e.role {
	case Decode:
		return 0
	case Prefill:
		room = e.model.PrefillChunk
	}
	total := 0
	for _, j := range e.waiting {
		n := min(room, j.left)
		if n == 0 {
			break
		}
		e.chunks = append(e.chunks, chunk{job: j, tokens: n})
		room -= n
		total += n
	}
	return total
}

// emit sends one token of each stream in the step.
func (e *engine) emit() {
	kept := e.running[:0]
	for _, j := range e.running {
		j.tokens++
		if j.done {
			continue
		}
		if j.tokens < j.req.Output {
			kept = append(kept, j)
			continue
		}
		e.run.finish(j)
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// computed ends the step's share of each prompt in it.
func (e *engine) computed() {
	for _, c := range e.chunks {
		j := c.job
		j.left -= c.tokens
		if j.left > 0 || j.done {
			continue
		}
		e.forget(j)
		e.cache.put(j.req.Key, j.req.Prefix/BlockTokens, e.model.CacheBlocks)
		j.tokens = 1
		j.first = e.run.loop.Now()
		e.run.prefilled(e, j)
	}
	e.chunks = e.chunks[:0]
}

// takeWaiting gives back the jobs that have not begun.
func (e *engine) takeWaiting() []*job {
	var out []*job
	e.waiting = slices.DeleteFunc(e.waiting, func(j *job) bool {
		begun := slices.ContainsFunc(e.chunks, func(c chunk) bool { return c.job == j })
		if begun {
			return false
		}
		out = append(out, j)
		return true
	})
	return out
}

// forget removes a job from the queues; one in a step under way has done set
// and is left out when the step ends.
func (e *engine) forget(j *job) {
	same := func(x *job) bool { return x == j }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.ready = slices.DeleteFunc(e.ready, same)
}

// crash loses every job and the cache.
func (e *engine) crash() []*job {
	lost := slices.Concat(e.waiting, e.ready, e.running)
	e.waiting, e.ready, e.running = nil, nil, nil
	e.cache = prefixCache{}
	e.chunks = nil
	e.stepped = false
	e.epoch++
	e.state = Down
	return lost
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// prefixCache keeps the most recently used prefixes.
type prefixCache struct{ held []CachedPrefix }

// CachedPrefix is one prefix in an engine's cache.
type CachedPrefix struct {
	Key    uint64
	Blocks int
}

func (c *prefixCache) pieces(key uint64) int {
	i := slices.IndexFunc(c.held, func(h CachedPrefix) bool { return h.Key == key })
	if i < 0 {
		return 0
	}
	return c.held[i].Blocks
}

func (c *prefixCache) put(key uint64, pieces, limit int) {
	if pieces == 0 {
		return
	}
	c.held = slices.DeleteFunc(c.held, func(h CachedPrefix) bool { return h.Key == key })
	c.held = append(c.held, CachedPrefix{Key: key, Blocks: pieces})
	used := 0
	for i := len(c.held) - 1; i >= 0; i-- {
		used += c.held[i].Blocks
		if used > limit {
			c.held = slices.Delete(c.held, 0, i+1)
			return
		}
	}
}
