package vm

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
)

// reloadPeriod is the time between two looks at the settings file, which may
// change without a signal. A look costs three system calls.
const reloadPeriod = 5 * time.Second

// SettingsReloader takes changed settings over. It is a kernel unit.
//
// Without it SIGHUP, by which the platform tells of a change, would end the
// process.
type SettingsReloader struct {
	Path  string
	Parse func(path string, text []byte) (Tunables, error)
	Apply func(Tunables)

	last []byte
}

// Name implements kernel.Unit.
func (r *SettingsReloader) Name() string { return "settings" }

// Provision implements kernel.Provisioner.
func (r *SettingsReloader) Provision(context.Context) error {
	var err error
	r.last, err = os.ReadFile(r.Path)
	return err
}

// Run implements kernel.Runner.
func (r *SettingsReloader) Run(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(reloadPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hup:
			log.Info("told of changed settings")
		case <-tick.C:
		}
		r.look()
	}
}

// look takes the file over if it has changed. A file that can't be understood
// changes nothing.
func (r *SettingsReloader) look() {
	b, err := os.ReadFile(r.Path)
	if err != nil || bytes.Equal(b, r.last) {
		if err != nil {
			log.WithError(err).Warn("settings not read")
		}
		return
	}
	r.last = b
	t, err := r.Parse(r.Path, b)
	if err != nil {
		log.WithError(err).Warn("changed settings not understood")
		return
	}
	r.Apply(t)
	log.WithField("bytes", len(b)).Info("changed settings in force")
}
