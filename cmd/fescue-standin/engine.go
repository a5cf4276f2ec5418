package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"fescuestand/internal/driver"
	"fescuestand/internal/kernel"
	"fescuestand/internal/standin/engine"
)

const exitCrash = 70 // exit code of an engine process that an injected fault crashed

type engineCommand struct {
	baseCommand
	Listen       string        `long:"listen" value-name:"IP:PORT" description:"address of the engine"`
	Engines      int           `long:"engines" default:"1" description:"engines in this process"`
	BasePort     int           `long:"base-port" description:"port of the first engine on 127.0.0.1, in place of --listen"`
	Role         string        `long:"role" choice:"mixed" choice:"prefill" choice:"decode" default:"mixed" description:"role at the start"`
	Load         []string      `long:"load" value-name:"MODEL/VERSION[/ADAPTER]" description:"loaded at the start; may be repeated; none at all: every model is"`
	Fence        string        `long:"fence" choice:"check" choice:"ignore" default:"check" description:"whether old fencing tokens are refused"`
	PrefillRate  float64       `long:"prefill-rate" default:"20000" description:"prompt tokens a second"`
	PrefillChunk int           `long:"prefill-chunk" default:"512" description:"prompt tokens between two decode steps"`
	DecodeStep   time.Duration `long:"decode-step" default:"12ms" description:"decode step of a batch of one"`
	DecodePerSeq time.Duration `long:"decode-per-sequence" default:"300us" description:"added to the step for each further sequence"`
	MaxBatch     int           `long:"max-batch" default:"32" description:"sequences in the batch"`
	MaxQueue     int           `long:"max-queue" default:"256" description:"requests that may wait"`
	CachePieces  int           `long:"cache-pieces" default:"64" description:"prefix cache, in pieces of 2,000 tokens"`
	KVRate       int64         `long:"kv-rate" default:"4294967296" description:"bytes a second of a KV cache import"`
	RoleChange   time.Duration `long:"role-change" default:"4s" description:"time that a role change takes the engine away"`
	ReportLag    time.Duration `long:"report-lag" default:"500ms" description:"age of load reports"`
	EventLag     time.Duration `long:"event-lag" default:"1s" description:"delay of cache events"`
	EventLoss    float64       `long:"event-loss" default:"0.01" description:"share of cache events that get lost"`
	Weights      string        `long:"weights" value-name:"IP:PORT" description:"weight store; none: loads are instant"`
	Poison       string        `long:"poison" value-name:"TEXT" description:"a prompt that contains it crashes the engine"`
	Downtime     time.Duration `long:"downtime" default:"3s" description:"from a crash to the restart, if the process holds several engines"`
}

func (c *engineCommand) run(ctx context.Context) (int, error) {
	addresses, err := c.addresses()
	if err != nil {
		return kernel.ExitUsage, err
	}
	loaded, err := c.loaded()
	if err != nil {
		return kernel.ExitUsage, err
	}
	g, ctx := errgroup.WithContext(ctx)
	for _, address := range addresses {
		cfg := c.config(address, loaded)
		if len(addresses) == 1 {
			cfg.Exit = func() { os.Exit(exitCrash) }
		}
		g.Go(func() error { return engine.New(cfg).Serve(ctx) })
	}
	return exitStatus(g.Wait())
}

func (c *engineCommand) config(address string, loaded []driver.Loaded) engine.Config {
	return engine.Config{
		Address:      address,
		Role:         driver.Role(c.Role),
		Loaded:       loaded,
		ChecksFence:  c.Fence == "check",
		PrefillRate:  c.PrefillRate,
		PrefillChunk: c.PrefillChunk,
		DecodeStep:   c.DecodeStep,
		DecodePerSeq: c.DecodePerSeq,
		MaxBatch:     c.MaxBatch,
		MaxQueue:     c.MaxQueue,
		CacheBlocks:  c.CachePieces,
		KVRate:       c.KVRate,
		RoleChange:   c.RoleChange,
		ReportLag:    c.ReportLag,
		EventLag:     c.EventLag,
		EventLoss:    c.EventLoss,
		WeightStore:  c.Weights,
		Poison:       c.Poison,
		Downtime:     c.Downtime,
	}
}

func (c *engineCommand) addresses() ([]string, error) {
	if (c.Listen == "") == (c.BasePort == 0) {
		return nil, fmt.Errorf("exactly one of --listen and --base-port is required")
	}
	if c.Listen != "" {
		return []string{c.Listen}, nil
	}
	all := make([]string, c.Engines)
	for i := range all {
		all[i] = net.JoinHostPort("127.0.0.1", strconv.Itoa(c.BasePort+i))
	}
	return all, nil
}

func (c *engineCommand) loaded() ([]driver.Loaded, error) {
	var all []driver.Loaded
	for _, text := range c.Load {
		f := strings.Split(text, "/")
		if len(f) != 2 && len(f) != 3 {
			return nil, fmt.Errorf("--load %q; allowed: MODEL/VERSION or MODEL/VERSION/ADAPTER", text)
		}
		l := driver.Loaded{Model: f[0], Version: f[1]}
		if len(f) == 3 {
			l.Adapter = f[2]
		}
		all = append(all, l)
	}
	return all, nil
}
