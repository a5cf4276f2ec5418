//go:build review

// Command harness plays the cases of review/ that are scripts: it starts the processes under test as the deploy
// file does, with stand-ins for the platform, the endpoints and the callers on loopback addresses, and judges what
// callers and endpoints have seen.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// errBroken means that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// cases are the scripts by name.
var cases = map[string]func(*world) error{
	"uploads":    uploads,
	"quarantine": quarantineLost,
	"shutdown":   shutdownLong,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(exitCannotRun)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitCannotRun)
	}
	os.Exit(run(play, os.Args[2]))
}

func run(play func(*world) error, folder string) int {
	w, err := newWorld(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "can't run:", err)
		return exitCannotRun
	}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.close()
		os.Exit(exitCannotRun)
	}()
	err = play(w)
	switch {
	case errors.Is(err, errBroken):
		w.record("verdict: broken: %v", err)
		return exitBroken
	case err != nil:
		w.record("verdict: the case couldn't run: %v", err)
		return exitCannotRun
	}
	w.record("verdict: held")
	return exitHeld
}
