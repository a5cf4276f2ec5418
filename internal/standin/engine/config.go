// Package engine is a fake model engine for tests and the demo.
//
// It computes the token text from the request (package oracle) instead of running a model. It
// simulates the behaviour that a router has to handle: continuous batching, prefill and decode time,
// a prefix cache of limited size, priorities, delayed load reports, cache events that arrive late or
// are lost, and orders that make the engine unavailable for seconds.
package engine

import (
	"cmp"
	"time"

	"fescuestand/internal/driver"
	"fescuestand/internal/network"
)

// Names of the faults that POST /fault injects.
const (
	FaultCrash         = "crash"           // crashes immediately; see Config.Exit
	FaultCrashInChange = "crash-in-change" // crashes halfway through the next order
	FaultFreeze        = "freeze"          // pauses the batch for Delay, connections stay open
	FaultSlow          = "slow"            // multiplies the step time by Factor
	FaultRefuse        = "refuse"          // answers 503 to new work
	FaultCutStream     = "cut-stream"      // aborts a stream after Factor tokens
	FaultCrossed       = "crossed"         // sends one token with the id of another attempt
	FaultLostOrder     = "lost-order"      // accepts an order, then closes the connection unanswered
	FaultDropEvents    = "drop-events"     // loses cache events, which leaves a gap in Seq
	FaultStaleReport   = "stale-report"    // adds Delay to the lag of load reports
	FaultSlowState     = "slow-state"      // waits Delay before answering /state
	FaultPoison        = "poison"          // crashes on a prompt that contains Text
)

const (
	defaultPrefillRate    = 20_000 // prompt tokens per second
	defaultPrefillChunk   = 512    // prompt tokens
	defaultDecodeStep     = 12 * time.Millisecond
	defaultDecodePerSeq   = 300 * time.Microsecond
	defaultMaxBatch       = 32
	defaultMaxQueue       = 256
	defaultCacheBlocks    = 64
	defaultKVRate         = 4 << 30   // bytes per second
	defaultKVPerToken     = 128 << 10 // bytes
	defaultRoleChange     = 4 * time.Second
	defaultDowntime       = 3 * time.Second
	kvRetention           = 30 * time.Second // how long an exported KV cache can be fetched
	maxPrefillBatchTokens = 4096             // prompt tokens per step without decode
)

// Config configures an Engine. Zero fields take defaults.
type Config struct {
	Address      string // host:port to listen on
	Role         driver.Role
	Loaded       []driver.Loaded // if empty, the engine serves every model
	ChecksFence  bool            // whether orders with an old fencing token are refused
	PrefillRate  float64         // prompt tokens per second
	PrefillChunk int             // prompt tokens prefilled between two decode steps
	DecodeStep   time.Duration   // step time of a batch of one
	DecodePerSeq time.Duration   // added to the step for each further sequence
	MaxBatch     int             // sequences
	MaxQueue     int             // requests
	CacheBlocks  int             // size of the prefix cache
	KVRate       int64           // bytes per second of a KV cache import
	KVPerToken   int64           // bytes
	RoleChange   time.Duration   // how long a role change makes the engine unavailable
	ReportLag    time.Duration   // age of load reports
	EventLag     time.Duration   // delay of cache events
	EventLoss    float64         // share of cache events that are lost
	WeightStore  string          // address of the weight store; if empty, loads are instant
	Poison       string          // a prompt that contains it crashes the engine
	Downtime     time.Duration   // time from a crash to the restart
	// Network is what it listens on, the machine's if it is nil.
	Network network.Network
	// Exit ends the process on a crash. If nil, a crash closes the listener and all streams, and the
	// engine restarts after Downtime.
	Exit func()
}

func (c Config) withDefaults() Config {
	c.Role = cmp.Or(c.Role, driver.RoleMixed)
	c.PrefillRate = cmp.Or(c.PrefillRate, defaultPrefillRate)
	c.PrefillChunk = cmp.Or(c.PrefillChunk, defaultPrefillChunk)
	c.DecodeStep = cmp.Or(c.DecodeStep, defaultDecodeStep)
	c.DecodePerSeq = cmp.Or(c.DecodePerSeq, defaultDecodePerSeq)
	c.MaxBatch = cmp.Or(c.MaxBatch, defaultMaxBatch)
	c.MaxQueue = cmp.Or(c.MaxQueue, defaultMaxQueue)
	c.CacheBlocks = cmp.Or(c.CacheBlocks, defaultCacheBlocks)
	c.KVRate = cmp.Or(c.KVRate, defaultKVRate)
	c.KVPerToken = cmp.Or(c.KVPerToken, defaultKVPerToken)
	c.RoleChange = cmp.Or(c.RoleChange, defaultRoleChange)
	c.Downtime = cmp.Or(c.Downtime, defaultDowntime)
	if c.Network == nil {
		c.Network = network.Machine{}
	}
	return c
}
