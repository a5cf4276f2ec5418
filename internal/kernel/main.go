package kernel

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/jessevdk/go-flags"

	"fescuestand/internal/settings"
)

// Version is the version of every binary.
const Version = "0.1.0"

// Exit codes of every binary.
const (
	ExitOK           = 0
	ExitFailed       = 1 // an error while running
	ExitUsage        = 2 // invalid command line or settings; nothing was started
	ExitDrainTimeout = 3 // the drain timeout passed with work left
)

// Flags are the command-line flags of every long-running binary.
type Flags struct {
	Config  string `long:"config" short:"c" value-name:"FILE" description:"settings, JSON with comments (docs/SETTINGS.md)"`
	Check   bool   `long:"check" description:"check the settings and exit"`
	Version bool   `long:"version" description:"print the version and exit"`
	Log     string `long:"log" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info" description:"lowest level that is logged"`
}

// Wire builds the units of a process from the settings file.
type Wire func(config string) (Options, []Unit, error)

// Main parses the command line, wires the units, runs them and returns the
// exit code.
func Main(name, about string, args []string, wire Wire) int {
	var f Flags
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = about + "\n\nExit codes: 0 done, 1 failed while running, 2 bad command line or settings, 3 longest drain passed with work left."
	if _, err := parser.AddGroup("Options", "", &f); err != nil {
		panic(err)
	}
	if rest, err := parser.ParseArgs(args); err != nil || len(rest) > 0 {
		return usage(err, rest)
	}
	if f.Version {
		fmt.Println(name, Version)
		return ExitOK
	}
	if f.Config == "" {
		fmt.Fprintln(os.Stderr, "5003 missing-setting: --config FILE is required")
		return ExitUsage
	}
	log.SetHandler(logfmt.New(os.Stderr))
	log.SetLevelFromString(f.Log)
	return start(name, f, wire)
}

func start(name string, f Flags, wire Wire) int {
	opt, units, err := wire(f.Config)
	if err != nil {
		PrintProblems(err)
		return ExitUsage
	}
	if f.Check {
		fmt.Println(f.Config, "is valid")
		return ExitOK
	}
	log.WithField("process", name).WithField("pid", os.Getpid()).WithField("version", Version).Info("started")
	err = Run(context.Background(), opt, units...)
	switch {
	case err == nil:
		log.WithField("process", name).Info("stopped")
		return ExitOK
	case errors.Is(err, ErrDrainTimeout):
		return ExitDrainTimeout
	default:
		log.WithError(err).WithField("process", name).Error("failed")
		return ExitFailed
	}
}

// PrintProblems prints each problem of a settings or sheet file to stderr on a separate line.
func PrintProblems(err error) {
	var p *settings.Problems
	if errors.As(err, &p) {
		for _, problem := range p.List {
			fmt.Fprintln(os.Stderr, problem)
		}
		return
	}
	fmt.Fprintln(os.Stderr, err)
}

func usage(err error, rest []string) int {
	var fe *flags.Error
	if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
		fmt.Println(fe.Message)
		return ExitOK
	}
	if err == nil {
		err = fmt.Errorf("unexpected argument %q", rest[0])
	}
	fmt.Fprintln(os.Stderr, "6014 bad-usage:", err)
	return ExitUsage
}
