package driver

import "fescuestand/internal/registry"

// Target identifies an external system: the driver that speaks its protocol, its address and
// options for the driver.
type Target struct {
	Driver  string            `json:"driver"`
	Address string            `json:"address"`
	Options map[string]string `json:"options,omitempty"`
}

// No opener connects before the first use, so that a process can start while an external system
// is down.

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

// The registries in which driver packages register themselves.
var (
	Engines      = registry.New[EngineOpener]("engine driver")
	Services     = registry.New[ServiceOpener]("plain service driver")
	Logs         = registry.New[LogOpener]("log driver")
	VMLists      = registry.New[VMListOpener]("VM list driver")
	WeightStores = registry.New[WeightStoreOpener]("weight store driver")
)
