package admit

import "time"

// The defaults and their grounds.
const (
	// defaultMaxQueued bounds memory: a queued request holds its prompt, and
	// 512 prompts of 16 kB take a quarter of an entry's 32 MB. Feasibility
	// keeps the queue far shorter unless deadlines are very long.
	defaultMaxQueued = 512
	// defaultMargin is by how much the forecast wait is stretched: arrivals
	// of higher priority and output lengths are not known in advance.
	defaultMargin = 1.2
	// defaultKeyLimit is how many requests for one key may be queued or
	// running: more are resends of the same question.
	defaultKeyLimit = 8
	// defaultLongFactor makes a request long when it costs this many times
	// the geometric mean of the requests offered. In a mix of manifests only,
	// none is long.
	defaultLongFactor = 4.0
	// defaultLongShare is the share of the slots that long requests may hold.
	// The rest turns over quickly for commits and short questions.
	defaultLongShare = 0.75
	// defaultCrowd is by how much a caller's part of the backlog may exceed
	// an equal one before its refusals are called its own doing.
	defaultCrowd = 1.5
	// rateWeight lets about ten requests decide a measured rate: fast enough
	// for a mix that swings within minutes.
	rateWeight = 0.1
	// mixWeight lets about fifty requests decide what is usual: a run of
	// manifests must not make them so.
	mixWeight = 0.02
	// shrink is the loss of capacity that makes the queue forecast again
	// what it holds.
	shrink = 0.9
)

// Class is a kind of request in the sheet.
type Class struct {
	Name         string
	Priority     int     // 0 is served first; a lower class waits while a higher one has work
	Weight       float64 // share among the classes of one priority
	OutputTokens int     // expected output tokens, until measured
	Urgent       bool    // sent with the engine's higher priority
}

// Rates are the times that an engine takes, as measured.
type Rates struct {
	Base            time.Duration
	PrefillPerToken time.Duration
	DecodePerToken  time.Duration
	Batch           int // answers that an engine decodes at once, sharing each step
}

// Guards switches single protections off, so that tests and measurements can
// show what each is for.
type Guards struct {
	NoFeasibility bool // admit what can't be on time
	NoShedding    bool // keep what has become infeasible
	NoFairness    bool // one flow for all callers
	NoPriority    bool // one class
	NoKeyLimit    bool
	NoLongShare   bool
	NoSpread      bool // tell all refused callers the same time to come back
}

// Config sets a Queue. Zero fields take the defaults.
type Config struct {
	Classes    []Class
	Rates      Rates // until measured
	MaxQueued  int
	Margin     float64
	KeyLimit   int
	LongFactor float64
	LongShare  float64
	Disabled   Guards
}

func (c Config) withDefaults() Config {
	if len(c.Classes) == 0 {
		c.Classes = []Class{{Name: "default"}}
	}
	c.Classes = append([]Class(nil), c.Classes...)
	for i := range c.Classes {
		if c.Classes[i].Weight <= 0 {
			c.Classes[i].Weight = 1
		}
		if c.Disabled.NoPriority {
			c.Classes[i].Priority, c.Classes[i].Weight = 0, 1
		}
	}
	if c.MaxQueued == 0 {
		c.MaxQueued = defaultMaxQueued
	}
	if c.Margin == 0 {
		c.Margin = defaultMargin
	}
	if c.KeyLimit == 0 {
		c.KeyLimit = defaultKeyLimit
	}
	if c.LongFactor == 0 {
		c.LongFactor = defaultLongFactor
	}
	if c.LongShare == 0 {
		c.LongShare = defaultLongShare
	}
	return c
}
