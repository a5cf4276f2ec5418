package kernel

import (
	"context"
	"errors"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"
)

type unit struct {
	name         string
	events       *[]string
	drainFor     time.Duration
	provisionErr error
}

func (u *unit) Name() string { return u.name }

func (u *unit) Provision(context.Context) error {
	*u.events = append(*u.events, "provision "+u.name)
	return u.provisionErr
}

func (u *unit) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func (u *unit) Drain(ctx context.Context) error {
	select {
	case <-time.After(u.drainFor):
		*u.events = append(*u.events, "drained "+u.name)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (u *unit) Close() error {
	*u.events = append(*u.events, "close "+u.name)
	return nil
}

// Guards against a stream that is interrupted because a second SIGTERM ends the process during the
// drain, as it would if the signal handler were removed after the first signal.
func TestSecondSignalDoesNotInterruptDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var events []string
		signals := make(chan os.Signal, 2)
		signals <- syscall.SIGTERM
		signals <- syscall.SIGTERM
		u := &unit{name: "a", events: &events, drainFor: 5 * time.Second}
		err := Run(t.Context(), Options{DrainTimeout: time.Minute, Signals: signals}, u)
		assert.NilError(t, err)
		assert.DeepEqual(t, events, []string{"provision a", "drained a", "close a"})
	})
}

func TestDrainTimeoutIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var events []string
		signals := make(chan os.Signal, 1)
		signals <- syscall.SIGTERM
		u := &unit{name: "a", events: &events, drainFor: time.Hour}
		err := Run(t.Context(), Options{DrainTimeout: time.Second, Signals: signals}, u)
		assert.ErrorIs(t, err, ErrDrainTimeout)
		assert.DeepEqual(t, events, []string{"provision a", "close a"})
	})
}

func TestFailedProvisionClosesOnlyEarlierUnits(t *testing.T) {
	var events []string
	a := &unit{name: "a", events: &events}
	b := &unit{name: "b", events: &events, provisionErr: errors.New("port taken")}
	err := Run(t.Context(), Options{}, a, b)
	assert.ErrorContains(t, err, "port taken")
	assert.DeepEqual(t, events, []string{"provision a", "provision b", "close a"})
}

// endingUnit is a unit whose Run returns at once.
type endingUnit struct{ err error }

func (endingUnit) Name() string { return "ending" }

func (u endingUnit) Run(context.Context) error { return u.err }

// Guards against a unit that ends by itself without a trace while the process goes on.
func TestAUnitThatEndsByItselfIsLogged(t *testing.T) {
	entries := memory.New()
	before := log.Log.(*log.Logger).Handler
	log.SetHandler(entries)
	defer log.SetHandler(before)
	for _, err := range []error{nil, context.Canceled} {
		synctest.Test(t, func(t *testing.T) {
			var events []string
			signals := make(chan os.Signal, 1)
			time.AfterFunc(time.Second, func() { signals <- syscall.SIGTERM })
			u := &unit{name: "a", events: &events}
			assert.NilError(t, Run(t.Context(), Options{DrainTimeout: time.Second, Signals: signals}, u, endingUnit{err}))
		})
	}
	ended := 0
	for _, e := range entries.Entries {
		if e.Message == "unit ended by itself" && e.Fields["unit"] == "ending" {
			ended++
		}
		assert.Assert(t, e.Fields["unit"] != "a", "a unit that ends with the process: %s", e.Message)
	}
	assert.Equal(t, ended, 2)
}
