// Command fescue-node serves callers on a VM of the users' platform.
package main

import (
	"crypto/rand"
	"os"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/eventlog"
	"fescuestand/internal/kernel"
	"fescuestand/internal/vm"
	"fescuestand/platform"
)

// flushTimeout is the maximum wait for the last log lines to be written when the process ends.
const flushTimeout = 100 * time.Millisecond

func main() {
	vm.CatchHangUps()
	about := "fescue-node serves callers on the users' platform: it advertises addresses, routes and streams requests, and retries failed ones."
	args := os.Args[1:]
	if path := platform.SettingsPath(); path != "" && len(args) == 0 {
		args = []string{"--config", path}
	}
	events := eventlog.New(os.Stdout)
	exitCode := kernel.Main("fescue-node", about, args, func(config string) (kernel.Options, []kernel.Unit, error) {
		log.SetHandler(events)
		return platform.Wire(config, rand.Text())
	})
	events.Flush(flushTimeout)
	os.Exit(exitCode)
}
