package entry

import (
	"time"

	"fescuestand/internal/code"
	"fescuestand/internal/commit"
	"fescuestand/internal/node"
	"fescuestand/internal/settings"
)

// Settings are the settings of fescue-entry.
type Settings struct {
	node.Settings
	Commits CommitSettings `json:"commits"`
}

// CommitSettings describe the guarantees of the platform's log service and bound the dispatch of
// commits.
type CommitSettings struct {
	// Retention is how long the log keeps records. It bounds the commit window of the sheet, see
	// commit.WindowFor.
	Retention settings.Duration `json:"retention"`
	// DispatchWithin is how long after its intent a commit may be dispatched.
	DispatchWithin settings.Duration `json:"dispatch_within"`
}

// defaultRetention is a day, the minimum for a log service that stores a sheet published daily.
const defaultRetention = 24 * time.Hour

// Defaults returns settings with every optional key set.
func Defaults() *Settings {
	return &Settings{
		Settings: node.Defaults(),
		Commits: CommitSettings{
			Retention:      settings.Duration(defaultRetention),
			DispatchWithin: settings.Duration(commit.DefaultDispatchWithin),
		},
	}
}

// Load reads and validates the settings file.
func Load(file string) (*Settings, error) {
	s := Defaults()
	return s, settings.Load(file, s)
}

// Validate implements settings.Validator.
func (s *Settings) Validate(p *settings.Problems) {
	s.Settings.Validate(p)
	s.CheckServingAddresses(p)
	if commit.WindowFor(s.Commits.Retention.D()) <= 0 {
		p.Add("commits.retention", code.BadSettings, "is %s; allowed: more than %s, or no commit could run",
			s.Commits.Retention.D(), commit.MaxClockSkew+commit.RetentionMargin)
	}
	if s.Commits.DispatchWithin <= 0 {
		p.Add("commits.dispatch_within", code.BadSettings, "is %s; allowed: more than 0", s.Commits.DispatchWithin.D())
	}
}
