// Command fescue-standin replaces external systems in tests and first runs: engines, plain services,
// the platform's services and a caller. It is not part of a deployment.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/jessevdk/go-flags"

	"fescuestand/internal/kernel"
)

const name = "fescue-standin"

const about = "Stand-ins for engines, plain services, the log service, the VM list and the weight store, " +
	"and a caller that checks every answer. For tests and first runs only; docs/STANDINS.md tells how to " +
	"switch faults on.\n\nExit codes: 0 done, 1 failed while running (caller: an answer was wrong or cut), " +
	"2 bad command line."

// common are the flags that precede the subcommand.
type common struct {
	Version func() `long:"version" description:"print the version and exit"`
	Log     string `long:"log" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info" description:"lowest level that is logged"`
}

// command is a subcommand; run returns the exit code.
type command interface {
	flags.Commander
	run(ctx context.Context) (int, error)
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var c common
	c.Version = func() {
		fmt.Println(name, kernel.Version)
		os.Exit(kernel.ExitOK)
	}
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = about
	mustAdd(parser.AddGroup("Options", "", &c))
	addCommands(parser)
	parser.CommandHandler = func(chosen flags.Commander, rest []string) error {
		return execute(&c, chosen, rest)
	}
	_, err := parser.ParseArgs(args)
	return exitCode(err)
}

func mustAdd(_ any, err error) {
	if err != nil {
		panic(err)
	}
}

// exitError passes an exit code through the flag parser.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return fmt.Sprint(e.err) }

func execute(c *common, chosen flags.Commander, rest []string) error {
	if chosen == nil {
		return &flags.Error{Type: flags.ErrCommandRequired, Message: "a subcommand is required; see --help"}
	}
	if len(rest) > 0 {
		return fmt.Errorf("unexpected argument %q", rest[0])
	}
	log.SetHandler(logfmt.New(os.Stderr))
	log.SetLevelFromString(c.Log)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	code, err := chosen.(command).run(ctx)
	return &exitError{code, err}
}

func exitCode(err error) int {
	var fe *flags.Error
	var ee *exitError
	switch {
	case errors.As(err, &ee):
		if ee.err != nil {
			fmt.Fprintln(os.Stderr, ee.err)
		}
		return ee.code
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Println(fe.Message)
		return kernel.ExitOK
	default:
		fmt.Fprintln(os.Stderr, "6014 bad-usage:", err)
		return kernel.ExitUsage
	}
}

// baseCommand is embedded in commands to implement flags.Commander. The parser requires Execute, but
// CommandHandler runs the commands instead.
type baseCommand struct{}

// Execute implements flags.Commander.
func (baseCommand) Execute([]string) error { return nil }
