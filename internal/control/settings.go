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
	Changes ChangeSettings `json:"changes"`
}

// ChangeSettings are the times of a planned change of an engine.
type ChangeSettings struct {
	MoveAfter settings.Duration `json:"move_after"`
	GiveUp    settings.Duration `json:"give_up"`
	Retry     settings.Duration `json:"retry"`
}

// LoadSettings reads and checks the settings file.
func LoadSettings(file string) (*Settings, error) {
	t := reconcile.DefaultTimes()
	s := &Settings{
		Settings: node.Defaults(),
		Changes: ChangeSettings{
			MoveAfter: settings.Duration(t.MoveAfter),
			GiveUp:    settings.Duration(t.GiveUp),
			Retry:     settings.Duration(t.Retry),
		},
	}
	return s, settings.Load(file, s)
}

// Validate implements settings.Validator.
func (s *Settings) Validate(p *settings.Problems) {
	s.Settings.Validate(p)
	if s.Changes.GiveUp <= s.Changes.MoveAfter {
		p.Add("changes.give_up", code.BadSettings, "is %s; allowed: more than changes.move_after, %s", s.Changes.GiveUp.D(), s.Changes.MoveAfter.D())
	}
	if s.Changes.Retry <= 0 {
		p.Add("changes.retry", code.BadSettings, "is %s; allowed: more than 0", s.Changes.Retry.D())
	}
}

// idleRenewals is how many renewals a process without engines may miss before
// it isn't counted as live.
const idleRenewals = 10

// LeaseOptions returns the times of the leases.
func (s *Settings) LeaseOptions() lease.Options {
	return lease.Options{
		TTL:        s.Lease.TTL.D(),
		Margin:     s.Lease.Margin.D(),
		MaxFlight:  s.Lease.MaxFlight.D(),
		IdleWindow: idleRenewals * s.Lease.Renew.D(),
	}
}

// ChangeTimeouts returns the times of planned changes.
func (s *Settings) ChangeTimeouts() reconcile.Times {
	return reconcile.Times{
		MaxFlight: s.Lease.MaxFlight.D(),
		MoveAfter: s.Changes.MoveAfter.D(),
		GiveUp:    s.Changes.GiveUp.D(),
		Retry:     s.Changes.Retry.D(),
	}
}
