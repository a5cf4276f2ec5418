// Package sheet defines the morning sheet: the whole configuration that
// operators publish to the log service, and the patches to it. docs/SHEET.md
// describes every key for operators.
package sheet

import (
	"fescuestand/internal/driver"
	"fescuestand/internal/settings"
)

// Sheet is one version of the fleet's configuration.
type Sheet struct {
	Deployment string    `json:"deployment"`
	Note       string    `json:"note,omitempty"`
	Engines    []Engine  `json:"engines"`
	Pools      []Pool    `json:"pools"`
	Services   []Service `json:"services,omitempty"`
	Classes    []Class   `json:"classes"`
	Limits     Limits    `json:"limits"`
}

// Engine is one runner of the fixed fleet.
type Engine struct {
	Name    string            `json:"name"`
	Zone    string            `json:"zone"`
	Driver  string            `json:"driver"`
	Address string            `json:"address"`
	Options map[string]string `json:"options,omitempty"`
	// ChecksFence says whether the engine refuses orders with an old token.
	ChecksFence bool `json:"checks_fence"`
	// Withdrawn engines are drained and get no work.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// Target returns what the engine's driver is opened with.
func (e *Engine) Target() driver.Target {
	return driver.Target{Driver: e.Driver, Address: e.Address, Options: e.Options}
}

// Pool is a group of engines that serve one model version.
type Pool struct {
	Name     string    `json:"name"`
	Model    string    `json:"model"`
	Version  string    `json:"version"`
	Adapters []Adapter `json:"adapters,omitempty"`
	Engines  []string  `json:"engines"`
	Roles    Roles     `json:"roles"`
	// MaxUnavailableShare is the largest share of the pool that planned changes may
	// take away at once, 0 < share <= 0.5. At least one engine may always go.
	MaxUnavailableShare float64 `json:"max_away_share"`
}

// Adapter is a version of an adapter on top of the pool's model.
type Adapter struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Roles says how the pool may be split.
type Roles struct {
	// Fixed pins engines to a role by name; the planner leaves them alone.
	Fixed map[string]driver.Role `json:"fixed,omitempty"`
	// Planned lets the planner move the others between prefill and decode.
	Planned    bool `json:"planned"`
	MinPrefill int  `json:"min_prefill"`
	MinDecode  int  `json:"min_decode"`
	// ChangeCost is what one role change must earn, in complete on-time
	// answers; 0 means free.
	ChangeCost float64 `json:"change_price"`
	// MaxChangesPerHour bounds planned role changes of the pool.
	MaxChangesPerHour int `json:"max_changes_per_hour"`
}

// Service is a plain service with several endpoints.
type Service struct {
	Name       string            `json:"name"`
	Driver     string            `json:"driver"`
	Endpoints  []ServiceEndpoint `json:"endpoints"`
	Operations []Operation       `json:"operations"`
}

// ServiceEndpoint is one process of a plain service.
type ServiceEndpoint struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// Operation is one call that the service offers.
type Operation struct {
	Name       string `json:"name"`
	Idempotent bool   `json:"idempotent"`
}

// Class is a kind of request with its objectives.
type Class struct {
	Name          string            `json:"name"`
	Priority      int               `json:"priority"` // higher is served first
	Deadline      settings.Duration `json:"deadline"` // cap and default of the caller's deadline
	FirstToken    settings.Duration `json:"first_token"`
	BetweenTokens settings.Duration `json:"between_tokens"`
	Objective     float64           `json:"objective"` // share that must meet the objectives
}

// Limits bounds what callers may ask for.
type Limits struct {
	MaxBodyBytes        int               `json:"max_body"`         // bytes
	MaxTokens      int               `json:"max_tokens"`       // of one answer
	WorkspaceShare float64           `json:"workspace_share"`  // of a pool's queue, 0 < share <= 1
	CommitWindow   settings.Duration `json:"commit_window"`    // in which a repeated key is recognised
	QueuePerEngine int               `json:"queue_per_engine"` // requests queued per engine of the pool
}
