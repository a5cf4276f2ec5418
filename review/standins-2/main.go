//go:build review

package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCant   = 2
)

// cases are the scripted cases. Each reports whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"foreign-entry": foreignEntry,
	"crash-records": crashRecords,
	"removed-entry": removedEntry,
}

func main() {
	name := flag.String("case", "", "the case to run")
	program := flag.String("program", "target/fescue-node", "the system's program")
	spec := flag.String("engine", "", "be a model server; used by this program only")
	record := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	flag.Parse()
	if *spec != "" {
		os.Exit(serveEngine(*spec))
	}
	os.Exit(runCase(*name, *program, *record, os.Getenv("TROUBLE") != "0"))
}

func runCase(name, program, record string, trouble bool) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitCant
	}
	w, err := newWorld(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCant
	}
	defer w.close()
	broken, err := c(w, trouble)
	switch {
	case err != nil:
		w.say("%v", err)
		if !errors.Is(err, errCantRun) {
			w.say("%v", errCantRun)
		}
		return exitCant
	case broken:
		w.say("broken")
		return exitBroken
	}
	w.say("held")
	return exitHeld
}
