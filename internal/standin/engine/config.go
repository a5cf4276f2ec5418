// Package engine is the stand-in for a model engine. Its token text is
// computed, everything else behaves like the real thing: batching, prefill and
// decode time, a prefix cache with limited memory, priorities, lagged reports,
// late and gappy cache events, and orders that take it away for seconds.
package engine

import (
	"cmp"
	"time"

	"fescuestand/internal/driver"
)

// Names of the faults.
const (
	FaultCrash         = "crash"           // at once; see Config.Exit
	FaultCrashInChange = "crash-in-change" // halfway through the next order
	FaultFreeze        = "freeze"          // no progress for Delay, connections stay
	FaultSlow          = "slow"            // steps take Factor times as long
	FaultRefuse        = "refuse"          // answers 503 to new work
	FaultCutStream     = "cut-stream"      // cuts a stream after Factor tokens
	FaultCrossed       = "crossed"         // sends one token of another attempt
	FaultLostOrder     = "lost-order"      // takes an order, then closes the connection
	FaultDropEvents    = "drop-events"     // cache events get lost: a gap in Seq
	FaultStaleReport   = "stale-report"    // adds Delay to the lag of load reports
	FaultSlowState     = "slow-state"      // waits Delay before answering /state
	FaultPoison        = "poison"          // crash on a prompt that contains Text
)

const (
	defaultPrefillRate  = 20_000
	defaultPrefillChunk = 512
	defaultDecodeStep   = 12 * time.Millisecond
	defaultDecodePerSeq = 300 * time.Microsecond
	defaultMaxBatch     = 32
	defaultMaxQueue     = 256
	defaultCachePieces  = 64
	defaultKVRate       = 4 << 30
	defaultKVPerToken   = 128 << 10
	defaultRoleChange   = 4 * time.Second
	defaultDowntime     = 3 * time.Second
	defaultKVKeep       = 30 * time.Second
	defaultPrefillBatch = 4096
)

// Config sets up an Engine. Zero fields take defaults.
type Config struct {
	Address      string // host:port to listen on
	Role         driver.Role
	Loaded       []driver.Loaded // none: loaded with whatever is asked
	ChecksFence  bool
	PrefillRate  float64       // prompt tokens a second
	PrefillChunk int           // prompt tokens between two decode steps
	DecodeStep   time.Duration // of a batch of one
	DecodePerSeq time.Duration // added for each further sequence
	MaxBatch     int
	MaxQueue     int
	CacheBlocks  int // memory of the prefix cache
	KVRate       int64
	KVPerToken   int64 // bytes
	RoleChange   time.Duration
	ReportLag    time.Duration
	EventLag     time.Duration
	EventLoss    float64 // share of cache events that get lost
	WeightStore      string  // address of the weight store; none: loads are instant
	Poison       string
	Downtime     time.Duration // from a crash to the restart
	// Exit ends the process at a crash. Without it the engine drops its
	// listener and all streams, and restarts after Downtime.
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
	c.CacheBlocks = cmp.Or(c.CacheBlocks, defaultCachePieces)
	c.KVRate = cmp.Or(c.KVRate, defaultKVRate)
	c.KVPerToken = cmp.Or(c.KVPerToken, defaultKVPerToken)
	c.RoleChange = cmp.Or(c.RoleChange, defaultRoleChange)
	c.Downtime = cmp.Or(c.Downtime, defaultDowntime)
	return c
}
