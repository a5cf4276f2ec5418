package scenarios

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver/httpapi"
	"fescuestand/internal/standin/engine"
	"fescuestand/internal/standin/service"
	"fescuestand/internal/status"
)

// awaitCondition waits for one condition:
//
//	await ready VM...              the entry accepts requests
//	await in-force VERSION VM...   the entry uses this version or a higher one
//	await holder ENGINE [not=VM]   a VM holds the engine; sets HOLDER and TOKEN
//	await role ENGINE ROLE         as reported by the engine
//	await loaded ENGINE MODEL/VERSION[/ADAPTER]   as reported by the engine
//	await addresses VM with=VM2 | without=VM2     VM2 is, or isn't, advertised to callers
//	await line PROCESS REGEXP      in the process's log
//	await executed KEY             an endpoint of the plain service executed it
//	await exit PROCESS
func awaitCondition(ts *testscript.TestScript, f *fleet, args []string) error {
	kind, args := args[0], args[1:]
	switch kind {
	case "ready":
		return f.awaitReports("ready", args, func(r *status.Report) bool { return r.Ready })
	case "in-force":
		version, err := strconv.ParseUint(args[0], 10, 64)
		if err != nil {
			return err
		}
		return f.awaitReports("version "+args[0], args[1:], func(r *status.Report) bool { return r.SheetVersion >= version })
	case "holder":
		return f.awaitHolder(ts, args)
	case "role":
		return f.awaitState(args[0], func(s *driver.EngineState) bool { return !s.Changing && string(s.Role) == args[1] })
	case "loaded":
		want := parseLoaded(args[1])
		return f.awaitState(args[0], func(s *driver.EngineState) bool { return !s.Changing && slices.Contains(s.Loaded, want) })
	case "addresses":
		return f.awaitAddresses(args)
	case "line":
		return f.awaitLine(args[0], args[1])
	case "executed":
		return poll("execution of "+args[0], func() (bool, error) {
			counts, err := f.executions()
			return counts[args[0]] > 0, err
		})
	case "exit":
		p, err := f.process(args[0])
		if err == nil {
			_, err = p.await()
		}
		return err
	default:
		return fmt.Errorf("no condition %q", kind)
	}
}

// getJSON decodes the JSON answer to a GET request into v.
func getJSON(addr, path string, v any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(v)
}

func (f *fleet) awaitReports(what string, names []string, ok func(*status.Report) bool) error {
	for _, name := range names {
		v, err := f.vm(name)
		if err != nil {
			return err
		}
		err = poll(what+" on "+name, func() (bool, error) {
			var r status.Report
			return getJSON(v.status, status.PathStatus, &r) == nil && ok(&r), nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) awaitHolder(ts *testscript.TestScript, args []string) error {
	not := ""
	if len(args) > 1 {
		not = strings.TrimPrefix(args[1], "not=")
	}
	return poll("holder of "+args[0], func() (bool, error) {
		for _, v := range f.vms {
			s, ok := v.heldScope(args[0])
			if ok && v.name != not {
				ts.Setenv("HOLDER", v.name)
				ts.Setenv("TOKEN", strconv.FormatUint(s.Token, 10))
				return true, nil
			}
		}
		return false, nil
	})
}

// heldScope returns the scope of an engine if the VM's control process reports that it holds it.
func (v *vm) heldScope(engineName string) (status.Scope, bool) {
	var r status.Report
	if getJSON(v.ctrl, status.PathStatus, &r) != nil {
		return status.Scope{}, false
	}
	for _, s := range r.Scopes {
		if s.Engine == engineName && s.HeldHere {
			return s, true
		}
	}
	return status.Scope{}, false
}

func (f *fleet) awaitState(name string, ok func(*driver.EngineState) bool) error {
	var s driver.EngineState
	err := poll("wanted state of "+name, func() (bool, error) {
		s = driver.EngineState{}
		return getJSON(f.standInAddr[name], httpapi.PathState, &s) == nil && ok(&s), nil
	})
	if err != nil {
		return fmt.Errorf("%w; last state %+v", err, s)
	}
	return nil
}

func parseLoaded(text string) driver.Loaded {
	model, rest, _ := strings.Cut(text, "/")
	version, adapter, _ := strings.Cut(rest, "/")
	return driver.Loaded{Model: model, Version: version, Adapter: adapter}
}

func (f *fleet) awaitAddresses(args []string) error {
	v, err := f.vm(args[0])
	if err != nil {
		return err
	}
	how, name, _ := strings.Cut(args[1], "=")
	other, err := f.vm(name)
	if err != nil {
		return err
	}
	return poll("addresses "+args[1], func() (bool, error) {
		var answer struct {
			Addresses []struct {
				Address string `json:"address"`
			} `json:"addresses"`
		}
		if getJSON(v.caller, "/v1/addresses", &answer) != nil {
			return false, nil
		}
		found := false
		for _, a := range answer.Addresses {
			found = found || a.Address == other.caller
		}
		return found == (how == "with"), nil
	})
}

func (f *fleet) awaitLine(name, pattern string) error {
	p, err := f.process(name)
	if err != nil {
		return err
	}
	re, err := regexp.Compile(pattern)
	if err != nil {
		return err
	}
	return poll("line "+pattern+" of "+name, func() (bool, error) {
		b, err := os.ReadFile(p.log)
		return re.Match(b), err
	})
}

// executions returns how often each key was executed on all endpoints together.
func (f *fleet) executions() (map[string]int, error) {
	counts := map[string]int{}
	for _, name := range f.services {
		var e service.Executions
		if err := getJSON(f.standInAddr[name], "/executions", &e); err != nil {
			return nil, err
		}
		for key, x := range e.Keys {
			counts[key] += x.Count
		}
	}
	return counts, nil
}

func (f *fleet) orders(name string) ([]engine.HistoryEntry, error) {
	var h engine.HistoryAnswer
	err := getJSON(f.standInAddr[name], "/history", &h)
	return h.Orders, err
}
