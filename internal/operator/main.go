package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"

	"github.com/jessevdk/go-flags"

	"fescuestand/internal/kernel"
)

// Exit codes of fescuectl besides the kernel's.
const (
	// ExitRefused means that the request was understood and refused, such as
	// a sheet that lost against a racing publish.
	ExitRefused = 4
	// ExitUnknown means that the outcome is not known yet; the message says
	// how to find out.
	ExitUnknown = 5
)

// exitError carries the exit code of a command that failed.
type exitError struct {
	status int
	err    error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// command is what the commands share.
type command struct {
	ctx context.Context
	out io.Writer

	Config string `long:"config" short:"c" value-name:"FILE" description:"settings of fescuectl (docs/SETTINGS.md)"`
}

func (c *command) settings() (*Settings, error) {
	if c.Config == "" {
		return nil, &exitError{kernel.ExitUsage, errors.New("5003 missing-setting: --config FILE is required")}
	}
	s, err := LoadSettings(c.Config)
	if err != nil {
		return nil, &exitError{kernel.ExitUsage, err}
	}
	return s, nil
}

type versionCommand struct{ out io.Writer }

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	_, err := fmt.Fprintln(c.out, "fescuectl", kernel.Version)
	return err
}

type codesCommand struct{ out io.Writer }

// Execute implements flags.Commander.
func (c *codesCommand) Execute([]string) error { return WriteCodes(c.out) }

type statusCommand struct {
	command
	JSON bool `long:"json" description:"print JSON"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	s, err := c.settings()
	if err != nil {
		return err
	}
	_, list, err := s.platform()
	if err != nil {
		return err
	}
	f, err := ReadStatus(c.ctx, list)
	if err != nil {
		return err
	}
	if c.JSON {
		return f.WriteJSON(c.out)
	}
	return f.WriteText(c.out)
}

// Main runs fescuectl and returns its exit code.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	parser := newParser(ctx, os.Stdout)
	_, err := parser.ParseArgs(args)
	return exitCode(err)
}

func exitCode(err error) int {
	var fe *flags.Error
	var ee *exitError
	switch {
	case err == nil:
		return kernel.ExitOK
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Println(fe.Message)
		return kernel.ExitOK
	case errors.As(err, &fe):
		fmt.Fprintln(os.Stderr, "6014 bad-usage:", fe.Message)
		return kernel.ExitUsage
	case errors.As(err, &ee):
		kernel.PrintProblems(ee.err)
		return ee.status
	default:
		kernel.PrintProblems(err)
		return kernel.ExitFailed
	}
}
