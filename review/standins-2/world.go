//go:build review

// Command standins-2 runs the scripted cases of the second review: stand-ins of the platform's store, of servers and of
// clients, around processes of target/fescue-node on loopback.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"fescuestand/platform/standin"
)

// The bounds of the site cevallos-luz that the cases use.
const (
	drainTime    = 2 * time.Second
	beatInterval = 1200 * time.Millisecond
	graceTime    = 8 * time.Second
)

// errCantRun means that a case couldn't be set up.
var errCantRun = errors.New("the case couldn't run")

// world holds the processes and stand-ins of one case.
type world struct {
	dir     string
	program string
	start   time.Time
	store   *standin.Store
	address string // of the store
	servers []*http.Server
	nodes   []*node
	engines []*engine

	mu      sync.Mutex
	record  *os.File
	closing bool
}

// newWorld starts the store and opens the record.
func newWorld(program, recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, program: program, start: time.Now(), store: standin.NewStore(), record: record}
	w.store.SetPage(standin.PlatformPage)
	w.address, err = w.serve(w.store)
	return w, err
}

// serve serves h on a free loopback address.
func (w *world) serve(h http.Handler) (address string, err error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String(), nil
}

// note writes a line with the time since the start to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (w *world) say(format string, args ...any) {
	w.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// close ends all processes and stand-ins, and removes the temporary folder.
func (w *world) close() {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	for _, n := range w.nodes {
		n.kill()
	}
	w.mu.Lock()
	for _, e := range w.engines {
		_ = e.cmd.Process.Kill()
	}
	w.mu.Unlock()
	for _, s := range w.servers {
		_ = s.Close()
	}
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

func (w *world) isClosing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closing
}

// node is one machine's process of the system.
type node struct {
	name                    string
	front, ready, directory string
	settings                string
	content                 map[string]any // of the settings
	log                     *os.File
	cmd                     *exec.Cmd
	done                    chan struct{}
	program                 string
}

const portsOfNode = 16

// freePorts returns the first of n free consecutive ports on 127.0.0.1, below those that the kernel gives to connections.
func freePorts(n int) (int, error) {
	const lowest, highest, tries = 10_000, 32_000, 1000
	for range tries {
		if first := lowest + rand.IntN(highest-lowest-n); areFree(first, n) {
			return first, nil
		}
	}
	return 0, errCantRun
}

func areFree(first, n int) bool {
	for p := first; p < first+n; p++ {
		ln, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", p))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// addNode writes the settings of a machine and starts its process.
func (w *world) addNode(zone string, first bool) (*node, error) {
	port, err := freePorts(portsOfNode + 4)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", port+portsOfNode+i) }
	name := fmt.Sprintf("front-%s-%d", zone, len(w.nodes)+1)
	n := &node{name: name, front: at(0), ready: at(1), directory: at(2), program: w.program, settings: filepath.Join(w.dir, name+".json")}
	n.content = map[string]any{
		"node": name, "role": "node", "machineClass": "front", "serves": []string{"front", "directory"},
		"ip": "127.0.0.1", "zone": zone, "region": "region-1",
		"zones":     map[string]string{"zone-a": "region-1", "zone-b": "region-1", "zone-c": "region-1"},
		"listen":    map[string]string{"front": n.front, "ready": n.ready, "directory": n.directory},
		"portRange": []int{port, port + portsOfNode - 1}, "seeds": []string{}, "bootstrap": first, "lossCounted": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "directory", "beatIntervalMs": beatInterval.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "platform"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": drainTime.Milliseconds(), "graceS": graceTime.Seconds(),
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "skewMaxMs": 5000, "budgetRatio": 0.2, "budgetWindowS": 10,
			"budgetExtra": 56, "recoveryS": 12, "transitMs": 120, "retryAfterS": 7, "fenceRequired": false, "leaseMs": 3000,
			"thawSlackMs": 300, "ttl_max_s": 5,
		},
		"platform": map[string]any{
			"address": w.address, "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 16, "appendMs": 3.0, "partMbS": 20.0,
			"readMbS": 80.0, "recordBytes": 262144, "callBytes": 2097152, "keep_s": 300, "partMb": 200, "ttlMinMs": 1000,
		},
	}
	if err := n.writeSettings(); err != nil {
		return nil, err
	}
	if n.log, err = os.Create(filepath.Join(w.dir, name+".log")); err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, n)
	return n, n.run()
}

func (n *node) writeSettings() error {
	text, err := json.MarshalIndent(n.content, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(n.settings, text, 0o600)
}

// runAgain starts the process after its end, with the settings of a system that has started before.
func (n *node) runAgain() error {
	n.content["bootstrap"] = false
	if err := n.writeSettings(); err != nil {
		return err
	}
	return n.run()
}

// run starts the process, as the deploy file says, with no argument.
func (n *node) run() error {
	n.cmd = exec.Command(n.program)
	n.cmd.Env = append(os.Environ(), "FESCUESTAND_SETTINGS="+n.settings)
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.done = done
	cmd := n.cmd
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (n *node) kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	n.signal(syscall.SIGKILL)
	<-n.done
}

// awaitReady waits until all machines answer the platform's readiness check.
func (w *world) awaitReady(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, n := range w.nodes {
		for !isReady(ctx, n.ready) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%w: %s isn't ready", errCantRun, n.name)
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readiness", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
