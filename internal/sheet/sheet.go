// Package sheet defines the sheet, which is the fleet's whole configuration that operators publish
// to the log service, and the patches to it. docs/SHEET.md describes every key for operators.
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

// Engine is one runner. The fleet is fixed: it has the engines that the sheet lists.
type Engine struct {
	Name    string            `json:"name"`
	Zone    string            `json:"zone"`
	Driver  string            `json:"driver"`
	Address string            `json:"address"`
	Options map[string]string `json:"options,omitempty"`
	// ChecksFence reports whether the engine rejects orders that carry an outdated fencing token.
	ChecksFence bool `json:"checks_fence"`
	// Withdrawn engines are drained and get no work.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// Target returns the arguments for opening the engine's driver.
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
	// MaxUnavailableShare is the largest share of the pool's engines, and of those that can run each
	// stage, that planned changes may make unavailable at once, 0 < share <= 0.5. One engine may always
	// be changed, however few there are.
	MaxUnavailableShare float64 `json:"max_away_share"`
}

// Adapter is one version of an adapter for the pool's model.
type Adapter struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Roles sets how a pool's engines may be divided between prefill and decode.
type Roles struct {
	// Fixed assigns engines to a role by name; the planner never changes their role.
	Fixed map[string]driver.Role `json:"fixed,omitempty"`
	// Planned allows the planner to change the role of the other engines.
	Planned    bool `json:"planned"`
	MinPrefill int  `json:"min_prefill"`
	MinDecode  int  `json:"min_decode"`
	// ChangeCost is the gain that a role change must bring, as a number of complete on-time
	// answers; 0 means that changes cost nothing.
	ChangeCost float64 `json:"change_price"`
	// MaxChangesPerHour limits the planned role changes of the pool.
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

// Class is a request class with its priority, deadline and latency objectives.
type Class struct {
	Name          string            `json:"name"`
	Priority      int               `json:"priority"` // higher is served first
	Deadline      settings.Duration `json:"deadline"` // maximum and default of the deadline that a caller sets
	FirstToken    settings.Duration `json:"first_token"`
	BetweenTokens settings.Duration `json:"between_tokens"`
	Objective     float64           `json:"objective"` // share that must meet each of these three objectives, 0 < share < 1
}

// Limits bounds requests and the queues for them.
type Limits struct {
	MaxBodyBytes   int               `json:"max_body"`         // of a request
	MaxTokens      int               `json:"max_tokens"`       // maximum output tokens of one answer
	WorkspaceShare float64           `json:"workspace_share"`  // maximum share of a pool's queue for one workspace, 0 < share <= 1
	CommitWindow   settings.Duration `json:"commit_window"`    // for this long a retried commit is recognised by its idempotency key
	QueuePerEngine int               `json:"queue_per_engine"` // maximum queued requests per engine of the pool
}
