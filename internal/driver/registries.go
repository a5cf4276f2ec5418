package driver

import "fescuestand/internal/registry"

// Target names an outside system: the driver that speaks its protocol, its
// address and what else the driver takes.
type Target struct {
	Driver  string            `json:"driver"`
	Address string            `json:"address"`
	Options map[string]string `json:"options,omitempty"`
}

// None of the openers connects before its first use, so that a process starts
// while an outside system is down.

// EngineOpener opens a model engine.
type EngineOpener func(t Target) (Engine, error)

// ServiceOpener opens one endpoint of a plain service.
type ServiceOpener func(t Target) (Service, error)

// LogOpener opens the log service.
type LogOpener func(t Target) (Log, error)

// VMListOpener opens the VM list.
type VMListOpener func(t Target) (VMList, error)

// WeightStoreOpener opens the weight store.
type WeightStoreOpener func(t Target) (WeightStore, error)

// The registries that driver packages register with.
var (
	Engines      = registry.New[EngineOpener]("engine driver")
	Services     = registry.New[ServiceOpener]("plain service driver")
	Logs         = registry.New[LogOpener]("log driver")
	VMLists      = registry.New[VMListOpener]("VM list driver")
	WeightStores = registry.New[WeightStoreOpener]("weight store driver")
)
