package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"

	"fescuestand/internal/driver/httpdriver/httpapi"
	"fescuestand/internal/kernel"
	"fescuestand/internal/standin/httpjson"
	"fescuestand/internal/standin/logservice"
	"fescuestand/internal/standin/service"
	"fescuestand/internal/standin/vmlist"
	"fescuestand/internal/standin/weights"
)

func addCommands(p *flags.Parser) {
	add := func(name, about string, c command) {
		mustAdd(p.AddCommand(name, about, about, c))
	}
	add("engine", "Model engines.", &engineCommand{})
	add("service", "Endpoints of a plain service.", &serviceCommand{})
	add("log", "The log service.", &logCommand{})
	add("vmlist", "The VM list.", &vmListCommand{})
	add("weights", "The weight store.", &weightsCommand{})
	add("caller", "A caller that checks every answer.", &callerCommand{})
}

// serve serves HTTP requests with h until ctx ends.
func serve(ctx context.Context, address string, h http.Handler) (int, error) {
	return exitStatus(httpjson.Serve(ctx, address, h))
}

func exitStatus(err error) (int, error) {
	if err != nil {
		return kernel.ExitFailed, err
	}
	return kernel.ExitOK, nil
}

type serviceCommand struct {
	baseCommand
	Listen      []string      `long:"listen" value-name:"IP:PORT" required:"true" description:"address of an endpoint; may be repeated"`
	Operations  []string      `long:"operation" value-name:"NAME" description:"an operation; may be repeated; none: every operation"`
	ServiceTime time.Duration `long:"service-time" default:"5ms" description:"time that one call takes"`
	Workers     int           `long:"workers" default:"16" description:"calls executed at once"`
	ReportLag   time.Duration `long:"report-lag" default:"500ms" description:"age of load reports"`
}

func (c *serviceCommand) run(ctx context.Context) (int, error) {
	g, ctx := errgroup.WithContext(ctx)
	for _, address := range c.Listen {
		s := service.New(service.Config{
			Operations: c.Operations, ServiceTime: c.ServiceTime, Workers: c.Workers, ReportLag: c.ReportLag,
		})
		g.Go(func() error { return httpjson.Serve(ctx, address, s.Handler()) })
	}
	return exitStatus(g.Wait())
}

type logCommand struct {
	baseCommand
	Listen      string        `long:"listen" value-name:"IP:PORT" required:"true" description:"address"`
	Appends     float64       `long:"appends-per-second" default:"400" description:"appends taken a second; above: 429, not in the log"`
	KeepTime    time.Duration `long:"keep-time" default:"1h" description:"retention by age"`
	KeepRecords int           `long:"keep-records" default:"1000000" description:"retention by count, per stream"`
}

func (c *logCommand) run(ctx context.Context) (int, error) {
	s := logservice.New(logservice.Config{
		AppendsPerSecond: c.Appends, Retention: c.KeepTime, MaxRecords: c.KeepRecords,
	})
	return serve(ctx, c.Listen, s.Handler())
}

type vmListCommand struct {
	baseCommand
	Listen string        `long:"listen" value-name:"IP:PORT" required:"true" description:"address"`
	VMs    []string      `long:"vm" value-name:"NAME,ZONE,CALLER,PEER,STATUS" description:"a VM at the start; may be repeated"`
	Lag    time.Duration `long:"lag" default:"1s" description:"time until a change shows"`
}

const vmFields = 5

func (c *vmListCommand) run(ctx context.Context) (int, error) {
	vms := make([]httpapi.VM, len(c.VMs))
	for i, text := range c.VMs {
		f := strings.Split(text, ",")
		if len(f) != vmFields {
			return kernel.ExitUsage, fmt.Errorf("--vm %q; allowed: NAME,ZONE,CALLER,PEER,STATUS", text)
		}
		vms[i] = httpapi.VM{Name: f[0], Zone: f[1], Caller: f[2], Peer: f[3], Status: f[4]}
	}
	return serve(ctx, c.Listen, vmlist.New(vms, c.Lag).Handler())
}

type weightsCommand struct {
	baseCommand
	Listen string   `long:"listen" value-name:"IP:PORT" required:"true" description:"address"`
	Rate   int64    `long:"rate" default:"1000000000" description:"bytes a second, all fetches together"`
	Size   int64    `long:"size" default:"500000000" description:"bytes of a model version or adapter"`
	Sizes  []string `long:"model-size" value-name:"MODEL/VERSION=BYTES" description:"size of one; may be repeated"`
}

func (c *weightsCommand) run(ctx context.Context) (int, error) {
	sizes := map[string]int64{}
	for _, text := range c.Sizes {
		key, value, _ := strings.Cut(text, "=")
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || n < 0 {
			return kernel.ExitUsage, fmt.Errorf("--model-size %q; allowed: MODEL/VERSION=BYTES", text)
		}
		sizes[key] = n
	}
	return serve(ctx, c.Listen, weights.New(c.Rate, c.Size, sizes).Handler())
}
