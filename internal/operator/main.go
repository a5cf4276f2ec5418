package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/jessevdk/go-flags"

	"fescuestand/internal/driver"
	"fescuestand/internal/fold"
	"fescuestand/internal/kernel"
	"fescuestand/internal/logclient"
	"fescuestand/internal/node"
	"fescuestand/internal/replica"
)

// Exit codes of fescuectl besides the kernel's.
const (
	// ExitRefused means that the request was valid and rejected, such as a publish that lost a race
	// against another one.
	ExitRefused = 4
	// ExitUnknown means that the outcome is not known yet; the error message says how to find it out.
	ExitUnknown = 5
)

// exitError is the error of a failed command with the exit code of the process.
type exitError struct {
	exitCode int
	err      error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// command holds the fields and options that several commands share.
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
	lg, list, err := s.platform()
	if err != nil {
		return err
	}
	f, err := ReadStatus(c.ctx, list)
	if err != nil {
		return err
	}
	if holdings, err := readHoldings(c.ctx, s, lg); err == nil {
		f.addHolders(holdings)
	} else {
		f.LogError = err.Error()
	}
	if c.JSON {
		return f.WriteJSON(c.out)
	}
	return f.WriteText(c.out)
}

// holdingsTimeout bounds the read of the control stream, so that the rest of the status is shown
// without a long wait during an outage of the log service.
const holdingsTimeout = 3 * time.Second

// readHoldings reads from the control stream which VM has the authority over each engine.
func readHoldings(ctx context.Context, s *Settings, lg driver.Log) ([]fold.Holding, error) {
	ctx, cancel := context.WithTimeout(ctx, holdingsTimeout)
	defer cancel()
	client := newClient(lg)
	defer func() { _ = client.Close() }()
	return replica.ReadHoldings(ctx, client, s.Streams.Control)
}

// newClient returns a log client with a new incarnation as its writer.
func newClient(lg driver.Log) *logclient.Client {
	return logclient.New(logclient.Options{Log: lg, Writer: node.NewIncarnation(), VM: "fescuectl"})
}

// Main runs fescuectl and returns the exit code of the process.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	parser := newParser(ctx, os.Stdout)
	_, err := parser.ParseArgs(args)
	return exitCode(err)
}

// exitCode prints the error, if any, and returns the exit code for it.
func exitCode(err error) int {
	var flagsErr *flags.Error
	var exitErr *exitError
	switch {
	case err == nil:
		return kernel.ExitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(flagsErr.Message)
		return kernel.ExitOK
	case errors.As(err, &flagsErr):
		fmt.Fprintln(os.Stderr, "6014 bad-usage:", flagsErr.Message)
		return kernel.ExitUsage
	case errors.As(err, &exitErr):
		kernel.PrintProblems(exitErr.err)
		return exitErr.exitCode
	default:
		kernel.PrintProblems(err)
		return kernel.ExitFailed
	}
}
