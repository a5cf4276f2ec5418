package control

import (
	"fescuestand/internal/code"
	"fescuestand/internal/lease"
	"fescuestand/internal/node"
	"fescuestand/internal/reconcile"
	"fescuestand/internal/settings"
)

// Settings of fescue-control.
type Settings struct {
	node.Settings
	// MoveAfter is how long a drain waits before streams are moved to other
	// engines, GiveUp how long it may take before the change is postponed.
	Drain DrainSettings `json:"drain"`
}

// DrainSettings are the times of a planned change.
type DrainSettings struct {
	MoveAfter settings.Duration `json:"move_after"`
	GiveUp    settings.Duration `json:"give_up"`
}

// Defaults returns settings with every optional key set.
func Defaults() *Settings {
	t := reconcile.DefaultTimes()
	return &Settings{
		Settings: node.Defaults(),
		Drain:    DrainSettings{MoveAfter: settings.Duration(t.MoveAfter), GiveUp: settings.Duration(t.GiveUp)},
	}
}

// Load reads and checks the settings file.
func Load(file string) (*Settings, error) {
	s := Defaults()
	return s, settings.Load(file, s)
}

// Validate implements settings.Validator.
func (s *Settings) Validate(p *settings.Problems) {
	s.Settings.Validate(p)
	if s.Drain.MoveAfter <= 0 || s.Drain.GiveUp <= s.Drain.MoveAfter {
		p.Add("drain", code.BadSettings, "move_after is %s and give_up %s; allowed: above 0, and give_up above move_after",
			s.Drain.MoveAfter.D(), s.Drain.GiveUp.D())
	}
}

// LeaseOptions returns the times of the leases.
func (s *Settings) LeaseOptions() lease.Options {
	return lease.Options{TTL: s.Lease.TTL.D(), Margin: s.Lease.Margin.D(), MaxFlight: s.Lease.MaxFlight.D()}
}

// Times returns the times of planned changes.
func (s *Settings) Times() reconcile.Times {
	t := reconcile.DefaultTimes()
	t.MoveAfter, t.GiveUp = s.Drain.MoveAfter.D(), s.Drain.GiveUp.D()
	return t
}
