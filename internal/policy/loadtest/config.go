package loadtest

import "time"

// Config describes a run, except for its policy and seed.
type Config struct {
	Name     string
	Model    EngineModel
	Engines  int
	Zones    int
	Entries  int
	Planners int
	Workload Workload
	Reports  Reports
	Faults   []Fault
	// Retries is the maximum number of retries of a request after engine failures.
	Retries int
	// PlanInterval is the time between two runs of a role planner.
	PlanInterval time.Duration
}

// Reports describes how load reports reach entries and planners.
type Reports struct {
	Interval       time.Duration
	MinLag, MaxLag time.Duration
	LossRate       float64 // share of the reports that are lost
}

// Fault is a fault of the listed engines that starts at At and lasts for Duration.
type Fault struct {
	Kind         FaultKind
	At, Duration time.Duration
	Engines      []int
	Factor       float64 // for Slow: how many times longer each step takes
}

// FaultKind is a kind of fault.
type FaultKind int

// The kinds of fault.
const (
	Crash     FaultKind = iota // loses its jobs and cache; restarts empty at the end of the fault
	Slow                       // each step takes Factor times longer
	FailFast                   // each dispatched request fails immediately
	NoReports                  // the engine sends no load reports
)

// oneWayDelay is the network delay in one direction between an entry and an engine, the same
// within a zone and between zones.
const oneWayDelay = 1500 * time.Microsecond

// stateChangeDelay is how long an ordered change of an engine's role or state takes to reach
// entries and planners.
const stateChangeDelay = 200 * time.Millisecond

// crashDetectionDelay is how long planners take to detect that an engine has crashed. Entries
// detect it by their own failed requests.
const crashDetectionDelay = 2 * time.Second

// DefaultModel returns an engine that, with a full batch, generates a token per stream every
// 35 ms, 1,380 tokens a second in total, and prefills a prompt of 8,000 tokens in one second.
func DefaultModel() EngineModel {
	return EngineModel{
		PrefillRate:     8000,
		StepBase:        18 * time.Millisecond,
		StepPerStream:   350 * time.Microsecond,
		MaxBatch:        48,
		PrefillChunk:    2048,
		MixedChunk:      512,
		CacheBlocks:     60,
		KVTransferRate:  80_000,
		KVTransferSetup: 5 * time.Millisecond,
		RoleChangeTime:  8 * time.Second,
	}
}

// DefaultReports returns reports that are sent twice a second and arrive 0.5 to 2 s later; one in
// twenty is lost.
func DefaultReports() Reports {
	return Reports{
		Interval: 500 * time.Millisecond,
		MinLag:   500 * time.Millisecond,
		MaxLag:   2 * time.Second,
		LossRate: 0.05,
	}
}

// betweenToken is the users' objective for the time between tokens.
const betweenToken = 39 * time.Millisecond

// Lakeshore returns a deployment of 12 engines in 3 availability zones behind 7 entries. It serves
// short questions and long drafts.
func Lakeshore() Config {
	return Config{
		Name:         "lakeshore",
		Model:        DefaultModel(),
		Engines:      12,
		Zones:        3,
		Entries:      7,
		Planners:     1,
		Reports:      DefaultReports(),
		Retries:      2,
		PlanInterval: time.Second,
		Workload: Workload{
			Short: Class{
				Name: "question", Prompt: 600, Output: 250, Priority: 1,
				Deadline: 30 * time.Second, FirstToken: time.Second, BetweenToken: betweenToken,
			},
			Long: Class{
				Name: "draft", Prompt: 9000, Prefix: 4000, Output: 250,
				Deadline: 45 * time.Second, FirstToken: 8 * time.Second, BetweenToken: betweenToken,
			},
			Load:    0.8,
			Swing:   Swing{Low: 0.05, High: 0.65, Hold: 3 * time.Minute, Ramp: 2 * time.Minute},
			Callers: 200,
			Keys:    300,
			Length:  20 * time.Minute,
		},
	}
}

// Cevallos returns a deployment of 10 engines in 4 availability zones behind 8 entries. Its long
// prompts are shorter than those of Lakeshore.
func Cevallos() Config {
	c := Lakeshore()
	c.Name = "cevallos"
	c.Engines = 10
	c.Zones = 4
	c.Entries = 8
	c.Workload.Short.Name = "balance question"
	c.Workload.Long.Name = "reply"
	c.Workload.Long.Prompt = 7000
	c.Workload.Swing.High = 0.7
	return c
}
