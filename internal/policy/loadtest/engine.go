package loadtest

import (
	"slices"
	"time"

	"fescuestand/internal/clock"
)

// Role is the part of the work that an engine does: prefill, decode or both.
type Role int

// The roles of an engine.
const (
	Mixed Role = iota
	Prefill
	Decode
)

func (r Role) String() string { return [...]string{"mixed", "prefill", "decode"}[r] }

// State says whether an engine accepts work.
type State int

// The states of an engine.
const (
	Ready State = iota
	Draining
	Changing
	Down
)

func (s State) String() string { return [...]string{"ready", "draining", "changing", "down"}[s] }

// BlockTokens is the number of tokens in one block of the engines' prefix cache.
const BlockTokens = 2000

// EngineModel holds the speeds and limits of one engine. A step takes
// StepBase + StepPerStream*streams for decoding, plus chunk/PrefillRate for the chunk of prompt
// tokens in it. So on a mixed engine each prefill chunk delays every stream.
type EngineModel struct {
	PrefillRate     float64 // tokens a second
	StepBase        time.Duration
	StepPerStream   time.Duration
	MaxBatch        int           // streams decoded at once
	PrefillChunk    int           // maximum prompt tokens in one step of a prefill engine
	MixedChunk      int           // maximum prompt tokens in one step of a mixed engine
	CacheBlocks     int           // size of the prefix cache
	KVTransferRate  float64       // tokens a second moved to another engine
	KVTransferSetup time.Duration // fixed time of one KV cache transfer
	RoleChangeTime  time.Duration // unavailable for a role change, after draining
}

// DecodeRate returns the tokens per second that a full batch generates.
func (m EngineModel) DecodeRate() float64 {
	step := m.StepBase + time.Duration(m.MaxBatch)*m.StepPerStream
	return float64(m.MaxBatch) / step.Seconds()
}

// engineSeconds returns the engine time, in seconds, that a mean request of the class takes.
func (m EngineModel) engineSeconds(c Class) float64 {
	return float64(c.Prompt)/m.PrefillRate + float64(c.Output)/m.DecodeRate()
}

// job is one attempt of a request.
type job struct {
	req          *Request
	entry        *entry
	engineID     int
	promptLeft   int // prompt tokens to prefill
	outputTokens int // output tokens sent
	firstTokenAt clock.Time
	done         bool
}

// chunk is the part of one prompt that the current step prefills.
type chunk struct {
	job    *job
	tokens int
}

type engine struct {
	id       int
	zone     int
	role     Role
	nextRole Role
	state    State
	model    EngineModel
	slowdown float64
	failFast bool // fails each dispatched request immediately
	epoch    int  // incremented by a crash, to discard the current step or role change

	prefillQueue []*job
	decodeQueue  []*job  // prefilled, waiting for a place in the batch
	running      []*job  // the batch
	stepping     bool    // a step is in progress
	chunks       []chunk // of the current step
	cache        prefixCache

	stepTime time.Duration // of the latest step
	run      *run
}

func (e *engine) waitingTokens() int {
	n := 0
	for _, j := range e.prefillQueue {
		n += j.promptLeft
	}
	return n
}

// enqueuePrefill queues j for prefill, behind jobs of the same or a higher priority.
func (e *engine) enqueuePrefill(j *job) {
	hit := min(e.cache.blocks(j.req.Key)*BlockTokens, j.req.Prefix)
	j.promptLeft = max(j.req.Prompt-hit, 1)
	e.run.recordPrefill(j.req.Prompt, j.promptLeft)
	i, _ := slices.BinarySearchFunc(e.prefillQueue, j, func(a, b *job) int {
		if a.req.Priority >= b.req.Priority {
			return -1
		}
		return 1
	})
	e.prefillQueue = slices.Insert(e.prefillQueue, i, j)
	e.startStep()
}

// enqueueDecode queues a prefilled job for a place in the batch.
func (e *engine) enqueueDecode(j *job) {
	e.decodeQueue = append(e.decodeQueue, j)
	e.startStep()
}

// startStep starts the next step, unless one is in progress or there is no work.
func (e *engine) startStep() {
	if e.stepping || e.state == Changing || e.state == Down {
		return
	}
	joining := min(e.model.MaxBatch-len(e.running), len(e.decodeQueue))
	e.running = append(e.running, e.decodeQueue[:joining]...)
	e.decodeQueue = slices.Delete(e.decodeQueue, 0, joining)
	promptTokens := e.planChunks()
	if len(e.running) == 0 && promptTokens == 0 {
		e.run.engineIdle(e)
		return
	}
	var d time.Duration
	if n := len(e.running); n > 0 {
		d = e.model.StepBase + time.Duration(n)*e.model.StepPerStream
	}
	d += seconds(float64(promptTokens) / e.model.PrefillRate)
	d = time.Duration(float64(d) * e.slowdown)
	e.stepTime = d
	e.stepping = true
	epoch := e.epoch
	e.run.loop.After(d, func() {
		if epoch != e.epoch {
			return
		}
		e.emitTokens()
		e.finishChunks()
		e.stepping = false
		e.startStep()
	})
}

// planChunks selects the prompt tokens that the next step prefills and returns their number.
func (e *engine) planChunks() int {
	e.chunks = e.chunks[:0]
	budget := e.model.MixedChunk
	switch e.role {
	case Decode:
		return 0
	case Prefill:
		budget = e.model.PrefillChunk
	}
	total := 0
	for _, j := range e.prefillQueue {
		n := min(budget, j.promptLeft)
		if n == 0 {
			break
		}
		e.chunks = append(e.chunks, chunk{job: j, tokens: n})
		budget -= n
		total += n
	}
	return total
}

// emitTokens sends one token of each stream in the batch and removes streams that have ended.
func (e *engine) emitTokens() {
	kept := e.running[:0]
	for _, j := range e.running {
		j.outputTokens++
		if j.done {
			continue
		}
		if j.outputTokens < j.req.Output {
			kept = append(kept, j)
			continue
		}
		e.run.finish(j)
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// finishChunks records the prompt tokens that the step has prefilled. A prefill that is complete
// yields the first output token, and its prefix is cached.
func (e *engine) finishChunks() {
	for _, c := range e.chunks {
		j := c.job
		j.promptLeft -= c.tokens
		if j.promptLeft > 0 || j.done {
			continue
		}
		e.removeQueued(j)
		e.cache.put(j.req.Key, j.req.Prefix/BlockTokens, e.model.CacheBlocks)
		j.outputTokens = 1
		j.firstTokenAt = e.run.loop.Now()
		e.run.prefillDone(e, j)
	}
	e.chunks = e.chunks[:0]
}

// removeUnstarted removes and returns the jobs that aren't part of the current step.
func (e *engine) removeUnstarted() []*job {
	var removed []*job
	e.prefillQueue = slices.DeleteFunc(e.prefillQueue, func(j *job) bool {
		started := slices.ContainsFunc(e.chunks, func(c chunk) bool { return c.job == j })
		if started {
			return false
		}
		removed = append(removed, j)
		return true
	})
	return removed
}

// removeQueued removes a job from the queues. A canceled job in the current step has done set and
// is dropped when the step ends.
func (e *engine) removeQueued(j *job) {
	isJob := func(x *job) bool { return x == j }
	e.prefillQueue = slices.DeleteFunc(e.prefillQueue, isJob)
	e.decodeQueue = slices.DeleteFunc(e.decodeQueue, isJob)
}

// crash drops the cache and all jobs, and returns the jobs.
func (e *engine) crash() []*job {
	lost := slices.Concat(e.prefillQueue, e.decodeQueue, e.running)
	e.prefillQueue, e.decodeQueue, e.running = nil, nil, nil
	e.cache = prefixCache{}
	e.chunks = nil
	e.stepping = false
	e.epoch++
	e.state = Down
	return lost
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// prefixCache is an LRU cache of prefixes; the last entry is the most recently used.
type prefixCache struct{ entries []CachedPrefix }

// CachedPrefix is one prefix in an engine's cache.
type CachedPrefix struct {
	Key    uint64
	Blocks int
}

// blocks returns the number of cached blocks of the key's prefix.
func (c *prefixCache) blocks(key uint64) int {
	i := slices.IndexFunc(c.entries, func(p CachedPrefix) bool { return p.Key == key })
	if i < 0 {
		return 0
	}
	return c.entries[i].Blocks
}

// put caches the key's prefix and evicts the least recently used prefixes beyond maxBlocks.
func (c *prefixCache) put(key uint64, blocks, maxBlocks int) {
	if blocks == 0 {
		return
	}
	c.entries = slices.DeleteFunc(c.entries, func(p CachedPrefix) bool { return p.Key == key })
	c.entries = append(c.entries, CachedPrefix{Key: key, Blocks: blocks})
	used := 0
	for i := len(c.entries) - 1; i >= 0; i-- {
		used += c.entries[i].Blocks
		if used > maxBlocks {
			c.entries = slices.Delete(c.entries, 0, i+1)
			return
		}
	}
}
