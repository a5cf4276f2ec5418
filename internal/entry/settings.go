package entry

import (
	"time"

	"fescuestand/internal/code"
	"fescuestand/internal/commit"
	"fescuestand/internal/node"
	"fescuestand/internal/settings"
)

// Settings of fescue-entry.
type Settings struct {
	node.Settings
	Commits CommitSettings `json:"commits"`
	// Entries is how many entry VMs share the endpoints.
	Entries int `json:"entries"`
}

// CommitSettings says what the platform's log service grants.
type CommitSettings struct {
	// Retention is how long the log keeps records. It bounds the commit window
	// of the sheet: see commit.WindowFor.
	Retention settings.Duration `json:"retention"`
	// DispatchWithin is how long after its intent a commit may be dispatched.
	DispatchWithin settings.Duration `json:"dispatch_within"`
}

// defaultRetention is a day, the least that a log service for a daily sheet can
// keep.
const defaultRetention = 24 * time.Hour

// defaultEntries is the size of today's deployments.
const defaultEntries = 8

// Defaults returns settings with every optional key set.
func Defaults() *Settings {
	return &Settings{
		Settings: node.Defaults(),
		Entries:  defaultEntries,
		Commits: CommitSettings{
			Retention:      settings.Duration(defaultRetention),
			DispatchWithin: settings.Duration(commit.DefaultDispatchWithin),
		},
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
	s.RequireServing(p)
	if commit.WindowFor(s.Commits.Retention.D()) <= 0 {
		p.Add("commits.retention", code.BadSettings, "is %s; allowed: more than %s, or no commit could run",
			s.Commits.Retention.D(), commit.MaxAhead+commit.LogMargin)
	}
	if s.Entries < 1 {
		p.Add("entries", code.BadSettings, "is %d; allowed: 1 or more", s.Entries)
	}
	if s.Commits.DispatchWithin <= 0 {
		p.Add("commits.dispatch_within", code.BadSettings, "is %s; allowed: more than 0", s.Commits.DispatchWithin.D())
	}
}
