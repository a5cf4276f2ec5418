package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"fescuestand/internal/kernel"
	"fescuestand/internal/standin/caller"
)

type callerCommand struct {
	baseCommand
	Entries       []string      `long:"entry" value-name:"IP:PORT" required:"true" description:"entry that is asked for addresses; may be repeated"`
	Seed          uint64        `long:"seed" default:"1" description:"seed of the mix"`
	For           time.Duration `long:"for" default:"15s" description:"how long new requests are sent"`
	Requests      int           `long:"requests" default:"0" description:"at most this many; 0: no limit"`
	Rate          float64       `long:"rate" default:"30" description:"requests a second"`
	Callers       int           `long:"callers" default:"8" description:"callers with addresses of their own"`
	Workspaces    int           `long:"workspaces" default:"12" description:"workspaces; long documents of one share a prefix"`
	Model         string        `long:"model" required:"true" description:"model"`
	ModelVersion  string        `long:"model-version" required:"true" description:"version of the model"`
	Adapter       string        `long:"adapter" description:"adapter"`
	Short         string        `long:"short-class" default:"question" description:"class of short questions"`
	Long          string        `long:"long-class" default:"draft" description:"class of long documents"`
	ShortTokens   int           `long:"short-tokens" default:"48" description:"longest answer to a short question"`
	LongTokens    int           `long:"long-tokens" default:"120" description:"longest answer to a long document"`
	ShortDeadline time.Duration `long:"short-deadline" default:"5s" description:"deadline of short questions"`
	LongDeadline  time.Duration `long:"long-deadline" default:"15s" description:"deadline of long documents"`
	LongPieces    int           `long:"long-pieces" default:"3" description:"shared pieces of 2,000 tokens in a long document"`
	LongLow       float64       `long:"long-low" default:"0.1" description:"share of long documents in the first half of a period"`
	LongHigh      float64       `long:"long-high" default:"0.6" description:"share of long documents in the second half"`
	Period        time.Duration `long:"period" default:"10s" description:"period of the shift in the mix"`
	Service       string        `long:"service" description:"plain service; none: it is not called"`
	Lookup        string        `long:"lookup" default:"lookup" description:"its idempotent operation"`
	Commit        string        `long:"commit" default:"commit" description:"its non-idempotent operation"`
	LookupShare   float64       `long:"lookup-share" default:"0.2" description:"share of requests that are lookups"`
	CommitShare   float64       `long:"commit-share" default:"0.15" description:"share of requests that are commits"`
	CallDeadline  time.Duration `long:"call-deadline" default:"5s" description:"deadline of lookups and commits"`
	NoReturn      bool          `long:"no-return" description:"don't come back after a refusal"`
	Resend        bool          `long:"resend" description:"ask again after a cut connection, commits with the same key"`
	Engines       []string      `long:"engine" value-name:"IP:PORT" description:"stand-in engine to audit at the end; may be repeated"`
	Endpoints     []string      `long:"endpoint" value-name:"IP:PORT" description:"stand-in service endpoint to audit at the end; may be repeated"`
	Strict        bool          `long:"strict" description:"exit 1 also if an outcome is unknown, or a request ran or was sent without a whole answer"`
	JSON          bool          `long:"json" description:"print JSON in place of the table"`
}

func (c *callerCommand) run(ctx context.Context) (int, error) {
	if c.Rate <= 0 || c.ShortTokens < 1 || c.LongTokens < 1 {
		return kernel.ExitUsage, fmt.Errorf("--rate, --short-tokens and --long-tokens must be above 0")
	}
	rep := caller.Run(ctx, c.config())
	if c.JSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		if err := enc.Encode(rep); err != nil {
			return kernel.ExitFailed, err
		}
	} else {
		rep.Print(os.Stdout)
	}
	if !rep.Good(c.Strict) {
		return kernel.ExitFailed, fmt.Errorf("an answer was incomplete, wrong or misreported, or no answer was on time")
	}
	return kernel.ExitOK, nil
}

func (c *callerCommand) config() *caller.Config {
	return &caller.Config{
		Entries:    c.Entries,
		Seed:       c.Seed,
		For:        c.For,
		Requests:   c.Requests,
		Rate:       c.Rate,
		Callers:    c.Callers,
		Workspaces: c.Workspaces,
		Model:      c.Model,
		Version:    c.ModelVersion,
		Adapter:    c.Adapter,
		Short:      caller.Class{Name: c.Short, MaxTokens: c.ShortTokens, Deadline: c.ShortDeadline},
		Long:       caller.Class{Name: c.Long, MaxTokens: c.LongTokens, Deadline: c.LongDeadline},
		Service: caller.Service{
			Name: c.Service, Lookup: c.Lookup, Commit: c.Commit, Deadline: c.CallDeadline,
		},
		LookupShare:      c.LookupShare,
		CommitShare:      c.CommitShare,
		LongShareLow:     c.LongLow,
		LongShareHigh:    c.LongHigh,
		Period:           c.Period,
		LongPrefixBlocks: c.LongPieces,
		Return:           !c.NoReturn,
		Resend:           c.Resend,
		Engines:          c.Engines,
		Endpoints:        c.Endpoints,
	}
}
