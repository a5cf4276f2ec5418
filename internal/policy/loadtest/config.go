package loadtest

import "time"

// Config is one run apart from the policy and the seed.
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
	// Retries bounds the attempts after the first that a request gets when its
	// engine failed under it.
	Retries int
	// PlanInterval is the time between two looks of a planner at its view.
	PlanInterval time.Duration
}

// Reports says how load reports travel.
type Reports struct {
	Interval          time.Duration
	MinLag, MaxLag time.Duration
	LossRate        float64 // share that never arrives
}

// Fault is trouble from At on for For. Engines lists whom it meets.
type Fault struct {
	Kind    FaultKind
	At, Duration time.Duration
	Engines []int
	Factor  float64 // of Slow: how many times longer each step takes
}

// FaultKind says what goes wrong.
type FaultKind int

// The kinds of fault.
const (
	Crash     FaultKind = iota // back empty at the end
	Slow                       // each step takes Factor times longer
	FailFast                   // each dispatch is answered by an error at once
	NoReports                  // load reports stop
)

// netDelay is one way between an entry and an engine, zones mixed.
const netDelay = 1500 * time.Microsecond

// orderDelay is how long entries take to learn of a change of role or state
// that a control process ordered.
const orderDelay = 200 * time.Millisecond

// detectDelay is how long control processes take to find that an engine has
// crashed. Entries find it by their own requests.
const detectDelay = 2 * time.Second

// DefaultModel is a plain engine: a stream of a full batch gets a token each
// 35 ms, 1,380 tokens a second in all, and a prompt of 8,000 tokens takes a
// second.
func DefaultModel() EngineModel {
	return EngineModel{
		PrefillRate:   8000,
		StepBase:      18 * time.Millisecond,
		StepPerStream: 350 * time.Microsecond,
		MaxBatch:      48,
		PrefillChunk:  2048,
		MixedChunk:    512,
		CacheBlocks:   60,
		KVTransferRate:        80_000,
		KVTransferSetup:       5 * time.Millisecond,
		RoleChangeTime:    8 * time.Second,
	}
}

// DefaultReports come twice a second with 0.5 to 2 s of lag; one in twenty is
// lost.
func DefaultReports() Reports {
	return Reports{
		Interval:   500 * time.Millisecond,
		MinLag:  500 * time.Millisecond,
		MaxLag:  2 * time.Second,
		LossRate: 0.05,
	}
}

// betweenToken is the users' objective for the gap between tokens.
const betweenToken = 39 * time.Millisecond

// Lakeshore is 12 label-drafting runners in 3 availability zones before 7
// entries.
func Lakeshore() Config {
	return Config{
		Name:      "lakeshore",
		Model:     DefaultModel(),
		Engines:   12,
		Zones:     3,
		Entries:   7,
		Planners:  1,
		Reports:   DefaultReports(),
		Retries:   2,
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

// Cevallos is the agent language service: 10 runners in 4 availability zones
// before 8 entries, and shorter histories than Lakeshore's manifests.
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
