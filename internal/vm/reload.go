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

// checkInterval is the time between two checks of the settings file, which may change without a
// signal. A check costs three system calls.
const checkInterval = 5 * time.Second

// SettingsReloader applies changes of the settings file. It is a kernel unit.
//
// Without it SIGHUP, which the platform sends after a change, would end the process.
type SettingsReloader struct {
	Path  string
	Parse func(path string, text []byte) (Tunables, error)
	Apply func(Tunables)

	lastText []byte
}

// CatchHangUps keeps SIGHUP from ending the process as long as it runs. It is called first: the platform doesn't know
// when a SettingsReloader begins or ends.
func CatchHangUps() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }

// Name implements kernel.Unit.
func (r *SettingsReloader) Name() string { return "settings" }

// Provision implements kernel.Provisioner.
func (r *SettingsReloader) Provision(context.Context) error {
	var err error
	r.lastText, err = os.ReadFile(r.Path)
	return err
}

// Run implements kernel.Runner.
func (r *SettingsReloader) Run(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hup:
			log.Info("received SIGHUP")
		case <-tick.C:
		}
		r.reloadIfChanged()
	}
}

// reloadIfChanged applies the file if it has changed. An invalid file changes nothing.
func (r *SettingsReloader) reloadIfChanged() {
	b, err := os.ReadFile(r.Path)
	if err != nil || bytes.Equal(b, r.lastText) {
		if err != nil {
			log.WithError(err).Warn("settings read failed")
		}
		return
	}
	r.lastText = b
	t, err := r.Parse(r.Path, b)
	if err != nil {
		log.WithError(err).Warn("settings are invalid")
		return
	}
	r.Apply(t)
	log.WithField("bytes", len(b)).Info("settings reloaded")
}
