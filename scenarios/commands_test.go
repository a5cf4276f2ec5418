package scenarios

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"fescuestand/internal/driver/httpdriver/httpapi"
)

// commandFunc runs one command of a scenario.
type commandFunc func(ts *testscript.TestScript, f *fleet, args []string) error

// commands returns the commands that scenarios have in addition to those of testscript.
func commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	out := map[string]func(ts *testscript.TestScript, neg bool, args []string){
		"ctl":     ctl,
		"traffic": trafficCommand,
	}
	for name, v := range map[string]commandFunc{
		"fleet":  buildFleet,
		"start":  start,
		"crash":  crash,
		"term":   term,
		"freeze": signalWith(syscall.SIGSTOP),
		"thaw":   signalWith(syscall.SIGCONT),
		"cut":    setCut(true),
		"heal":   setCut(false),
		"fault":  fault,
		"leave":  leave,
		"await":  awaitCondition,
		"check":  check,
		"call":   call,
		"order":  order,
		"pause":  pause,
	} {
		out[name] = withNegation(name, v)
	}
	return out
}

// withNegation makes a command that must fail if it is negated with "!".
func withNegation(name string, v commandFunc) func(ts *testscript.TestScript, neg bool, args []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		err := v(ts, fleetOf(ts), args)
		if neg {
			if err == nil {
				ts.Fatalf("%s succeeded unexpectedly", name)
			}
			return
		}
		if err != nil {
			ts.Fatalf("%s: %v", name, err)
		}
	}
}

func fleetOf(ts *testscript.TestScript) *fleet { return ts.Value(fleetKey{}).(*fleet) }

func buildFleet(_ *testscript.TestScript, f *fleet, args []string) error {
	c, err := parseFleetConfig(args)
	if err != nil {
		return err
	}
	return f.build(c)
}

// start starts processes by name: entry-VM, control-VM, a stand-in that was killed, or "all" for both
// processes of every VM.
func start(_ *testscript.TestScript, f *fleet, names []string) error {
	if len(names) == 1 && names[0] == "all" {
		names = nil
		for _, v := range f.vms {
			names = append(names, "entry-"+v.name, "control-"+v.name)
		}
	}
	for _, name := range names {
		if err := f.startOne(name); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startOne(name string) error {
	for _, kind := range []string{"entry", "control"} {
		if _, ok := strings.CutPrefix(name, kind+"-"); ok {
			return f.run(name, "fescue-"+kind, "--config", filepath.Join(f.dir, name+".jsonc"))
		}
	}
	p, err := f.process(name)
	if err != nil {
		return err
	}
	if err := p.start(); err != nil {
		return err
	}
	return awaitListen(f.standInAddr[name])
}

// crash kills processes with SIGKILL.
func crash(_ *testscript.TestScript, f *fleet, names []string) error {
	for _, name := range names {
		p, err := f.process(name)
		if err != nil {
			return err
		}
		p.kill()
	}
	return nil
}

// term sends SIGTERM to all processes at once, waits for their exit and fails unless the exit code is 0.
func term(_ *testscript.TestScript, f *fleet, names []string) error {
	for _, name := range names {
		p, err := f.process(name)
		if err != nil {
			return err
		}
		if err := p.signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	for _, name := range names {
		status, err := f.processes[name].await()
		if err != nil {
			return err
		}
		if status != 0 {
			return fmt.Errorf("%s exited with %d", name, status)
		}
	}
	return nil
}

func signalWith(s syscall.Signal) commandFunc {
	return func(_ *testscript.TestScript, f *fleet, names []string) error {
		for _, name := range names {
			p, err := f.process(name)
			if err != nil {
				return err
			}
			if err := p.signal(s); err != nil {
				return err
			}
		}
		return nil
	}
}

// setCut starts or ends a network partition: "cut e1" isolates a stand-in from all VMs, "cut vm2:peer"
// a VM from its peers, "cut vm2:log" a VM from the log.
func setCut(cut bool) commandFunc {
	return func(_ *testscript.TestScript, f *fleet, names []string) error {
		for _, name := range names {
			if vmName, ok := strings.CutSuffix(name, ":log"); ok {
				if err := f.cutLog(vmName, cut); err != nil {
					return err
				}
				continue
			}
			r, ok := f.relays[name]
			if !ok {
				return fmt.Errorf("no relay %q to cut", name)
			}
			r.Block(cut)
		}
		return nil
	}
}

func (f *fleet) cutLog(vmName string, cut bool) error {
	if cut {
		return f.post("log", "/fault", map[string]any{"name": "cut", "client": vmName})
	}
	return f.post("log", "/fault", map[string]any{"name": "cut", "client": vmName, "count": 1, "for": "1ns"})
}

// fault enables a fault of a stand-in: fault STANDIN NAME [key=value ...].
func fault(_ *testscript.TestScript, f *fleet, args []string) error {
	body := map[string]any{"name": args[1]}
	for _, a := range args[2:] {
		key, value, _ := strings.Cut(a, "=")
		var number json.Number
		if err := json.Unmarshal([]byte(value), &number); err == nil {
			body[key] = number
		} else {
			body[key] = value
		}
	}
	return f.post(args[0], "/fault", body)
}

func (f *fleet) post(standIn, path string, body any) error {
	addr, ok := f.standInAddr[standIn]
	if !ok {
		return fmt.Errorf("no stand-in %q", standIn)
	}
	return sendJSON(http.MethodPost, addr, path, body)
}

func sendJSON(method, addr, path string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(b))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s: %s: %s", method, path, resp.Status, text)
	}
	return nil
}

func (f *fleet) publishVMList() error { return f.putVMList(nil) }

func (f *fleet) putVMList(leaving []string) error {
	list := f.vmRecords()
	for i := range list {
		for _, name := range leaving {
			list[i].Leaving = list[i].Leaving || list[i].Name == name
		}
	}
	return sendJSON(http.MethodPut, f.standInAddr["vmlist"], httpapi.PathVMs, httpapi.VMs{VMs: list})
}

// leave marks the named VMs as leaving in the VM list, and all others as not leaving.
func leave(_ *testscript.TestScript, f *fleet, names []string) error { return f.putVMList(names) }

// pause waits for a fixed time. It keeps a fault active for that time; to wait for an event, use await.
func pause(_ *testscript.TestScript, _ *fleet, args []string) error {
	d, err := time.ParseDuration(args[0])
	if err == nil {
		time.Sleep(d)
	}
	return err
}

var acceptedVersion = regexp.MustCompile(`accepted version=(\d+)`)

// ctl runs fescuectl with the fleet's settings. After an accepted publish it sets the variable VERSION
// to the new version.
func ctl(ts *testscript.TestScript, neg bool, args []string) {
	f := fleetOf(ts)
	full := append([]string{args[0]}, "--config", filepath.Join(f.dir, "ctl.jsonc"))
	cmd := command(filepath.Join(binaries, "fescuectl"), append(full, args[1:]...)...)
	cmd.Dir = f.dir
	out, err := cmd.CombinedOutput()
	ts.Logf("%s", out)
	_, _ = ts.Stdout().Write(out)
	if m := acceptedVersion.FindSubmatch(out); m != nil {
		ts.Setenv("VERSION", string(m[1]))
	}
	if (err != nil) != neg {
		ts.Fatalf("fescuectl %v: %v", args, err)
	}
}
