package control

import (
	"fescuestand/internal/code"
	"fescuestand/internal/lease"
	"fescuestand/internal/node"
	"fescuestand/internal/reconcile"
	"fescuestand/internal/settings"
)

// Settings are the settings of fescue-control.
type Settings struct {
	node.Settings
	Changes ChangeSettings `json:"changes"`
}

// ChangeSettings are the timeouts of a planned change of an engine.
type ChangeSettings struct {
	MoveAfter    settings.Duration `json:"move_after"`
	DrainTimeout settings.Duration `json:"give_up"`
	RetryDelay   settings.Duration `json:"retry"`
}

// LoadSettings reads and checks the settings file.
func LoadSettings(file string) (*Settings, error) {
	t := reconcile.DefaultTimeouts()
	s := &Settings{
		Settings: node.Defaults(),
		Changes: ChangeSettings{
			MoveAfter:    settings.Duration(t.MoveAfter),
			DrainTimeout: settings.Duration(t.DrainTimeout),
			RetryDelay:   settings.Duration(t.RetryDelay),
		},
	}
	return s, settings.Load(file, s)
}

// Validate implements settings.Validator.
func (s *Settings) Validate(p *settings.Problems) {
	s.Settings.Validate(p)
	if s.Changes.DrainTimeout <= s.Changes.MoveAfter {
		p.Add("changes.give_up", code.BadSettings, "is %s; allowed: more than changes.move_after, %s", s.Changes.DrainTimeout.D(), s.Changes.MoveAfter.D())
	}
	if s.Changes.RetryDelay <= 0 {
		p.Add("changes.retry", code.BadSettings, "is %s; allowed: more than 0", s.Changes.RetryDelay.D())
	}
}

// maxMissedIdleRenewals is how many renewals a process that holds no engines may miss before it no
// longer counts as live.
const maxMissedIdleRenewals = 10

// LeaseOptions returns the lease options.
func (s *Settings) LeaseOptions() lease.Options {
	return lease.Options{
		TTL:        s.Lease.TTL.D(),
		Margin:     s.Lease.Margin.D(),
		MaxFlight:  s.Lease.MaxOrderDelay.D(),
		IdleWindow: maxMissedIdleRenewals * s.Lease.RenewInterval.D(),
	}
}

// ChangeTimeouts returns the timeouts of planned changes.
func (s *Settings) ChangeTimeouts() reconcile.Timeouts {
	return reconcile.Timeouts{
		MaxFlight:    s.Lease.MaxOrderDelay.D(),
		MoveAfter:    s.Changes.MoveAfter.D(),
		DrainTimeout: s.Changes.DrainTimeout.D(),
		RetryDelay:   s.Changes.RetryDelay.D(),
	}
}
