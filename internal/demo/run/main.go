// Command run implements `make demo`: it starts an example deployment with stand-ins, runs a caller
// with a changing mix of requests, and exits with 0 only if every answer was complete.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"fescuestand/internal/demo"
	"fescuestand/internal/kernel"
)

type options struct {
	Bin        string        `long:"bin" default:"bin" description:"directory of the binaries"`
	Examples   string        `long:"examples" default:"examples" description:"directory of the examples"`
	Deployment string        `long:"deployment" default:"lakeshore" description:"name of the example"`
	For        time.Duration `long:"for" default:"15s" description:"how long the caller sends new requests"`
	Rate       float64       `long:"rate" default:"30" description:"requests a second"`
	NoControl  bool          `long:"no-control" description:"leave fescue-control out"`
	KillEntry  time.Duration `long:"kill-entry" value-name:"AFTER" description:"kill one entry without notice this long into the run"`
	Args       struct {
		Caller []string `positional-arg-name:"CALLER-FLAG" description:"further flags of fescue-standin caller, after --"`
	} `positional-args:"yes"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).Parse(); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			fmt.Println(fe.Message)
			return kernel.ExitOK
		}
		fmt.Fprintln(os.Stderr, err)
		return kernel.ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	deployment, err := demo.Load(filepath.Join(o.Examples, o.Deployment))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return kernel.ExitUsage
	}
	d := &demo.Demo{
		BinDir: o.Bin, Deployment: deployment, Duration: o.For, Rate: o.Rate,
		NoControl: o.NoControl, KillEntry: o.KillEntry, CallerFlags: o.Args.Caller, Output: os.Stdout,
	}
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		return kernel.ExitFailed
	}
	fmt.Println("demo passed: every answer whole, every process stopped gracefully")
	return kernel.ExitOK
}
