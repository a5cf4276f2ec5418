package admit

import "time"

const (
	// defaultMaxQueued bounds memory: a queued request holds its prompt, and 512 prompts of 16 kB
	// take a quarter of an entry's 32 MB. The feasibility check keeps the queue far shorter unless
	// deadlines are very long.
	defaultMaxQueued = 512
	// defaultMargin multiplies the forecast wait, since arrivals of higher priority and output
	// lengths are not known in advance.
	defaultMargin = 1.2
	// defaultKeyLimit is the number of requests for one key that may be queued or running. More
	// are resends of the same question.
	defaultKeyLimit = 8
	// defaultLongFactor makes a request long if it costs this many times the geometric mean of the
	// offered requests. In a mix that consists of equally long requests, none is long.
	defaultLongFactor = 4.0
	// defaultLongShare is the share of the slots that long requests may occupy. The other slots are
	// freed quickly, for commits and short questions.
	defaultLongShare = 0.75
	// defaultOverShareFactor is the factor by which a caller's part of the backlog may exceed its
	// fair share before its refusals are attributed to the caller itself.
	defaultOverShareFactor = 1.5
	// rateEWMAWeight averages a measured rate over about ten requests: fast enough for a mix that
	// shifts within minutes.
	rateEWMAWeight = 0.1
	// costEWMAWeight averages the usual cost over about fifty requests, so that a run of long
	// requests doesn't raise the usual cost to theirs.
	costEWMAWeight = 0.02
	// reassessInterval is the time between two forecasts for the queued requests.
	reassessInterval = 100 * time.Millisecond
	// reassessTolerance is the ratio of forecast wait to slack up to which a queued request is kept, as
	// the errors of repeated forecasts would accumulate.
	reassessTolerance = 1.25
	// reassessCapacityRatio is the ratio of new to old capacity below which the wait of all queued
	// requests is forecast again.
	reassessCapacityRatio = 0.9
)

// Class is a kind of request, as defined in the sheet.
type Class struct {
	Name         string
	Priority     int     // 0 is served first; lower classes wait while a higher one has requests
	Weight       float64 // share among the classes of one priority
	OutputTokens int     // expected per request, until measured
	Urgent       bool    // sent with the engine's higher priority
}

// Rates are the measured times of an engine.
type Rates struct {
	Base            time.Duration // per request
	PrefillPerToken time.Duration
	DecodePerToken  time.Duration
	Batch           int // sequences decoded at once, which share each step
}

// Guards disables single protections, so that tests and measurements can show the effect of each.
type Guards struct {
	NoFeasibility bool // admit requests that can't meet their deadline
	NoShedding    bool // keep queued requests that have become infeasible
	NoFairness    bool // one flow for all callers
	NoPriority    bool // one class for all requests
	NoKeyLimit    bool
	NoLongShare   bool
	NoSpread      bool // the same Retry-After delay for all refused callers
}

// Config configures a Queue. Zero fields take the defaults.
type Config struct {
	Classes    []Class
	Rates      Rates // initial values, until measured
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
