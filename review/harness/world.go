//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fescuestand/platform/standin"
)

// world is a deployment on loopback addresses.
type world struct {
	trouble bool
	began   time.Time
	dir     string // temporary
	store   *standin.Store
	address string // of the store
	vms     []*vm

	mu       sync.Mutex
	out      *bufio.Writer
	file     *os.File
	closed   bool
	stopping chan struct{}
	nextID   atomic.Int64
	idPrefix string
}

func newWorld(folder string, trouble bool) (*world, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-*")
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &world{
		trouble: trouble, began: time.Now(), dir: dir, store: standin.NewStore(), address: ln.Addr().String(),
		out: bufio.NewWriter(file), file: file, stopping: make(chan struct{}),
		idPrefix: strconv.FormatInt(time.Now().UnixNano()&0xffffffff, 16),
	}
	go func() { _ = http.Serve(ln, w.store) }()
	w.record("trouble: %v", trouble)
	return w, nil
}

// record writes a line with the time since the start of the case.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	fmt.Fprintf(w.out, "%9.3f ", time.Since(w.began).Seconds())
	fmt.Fprintf(w.out, format, args...)
	fmt.Fprintln(w.out)
}

// close ends all processes and writes the record.
func (w *world) close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	close(w.stopping)
	w.mu.Unlock()
	for _, v := range w.vms {
		v.end()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	_ = w.out.Flush()
	_ = w.file.Close()
	_ = os.RemoveAll(w.dir)
}

func (w *world) isStopping() bool {
	select {
	case <-w.stopping:
		return true
	default:
		return false
	}
}

// newID returns the id of a new attempt.
func (w *world) newID() string {
	return fmt.Sprintf("%s%08x", w.idPrefix, w.nextID.Add(1))
}

// putConfig writes the operator's configuration to the store.
func (w *world) putConfig(config map[string]any) error {
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	w.store.Put("keyed.op", "config", string(text))
	w.record("operator: config %v acknowledged", config["version"])
	return nil
}

// vm is a machine with a process of the system. All VMs have the same ports, at addresses of their own.
type vm struct {
	w         *world
	name      string
	ip        string
	front     string
	ready     string
	directory string
	settings  string // path
	memoryMb  int

	mu        sync.Mutex
	cmd       *exec.Cmd
	done      chan struct{} // closed when the process has ended
	startedAt time.Time
	ended     bool // it isn't started again
}

// freePorts returns n ports that are free at all of the addresses.
func freePorts(n int, ips []string) ([]int, error) {
	var out []int
	for range 200 {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		port := ln.Addr().(*net.TCPAddr).Port
		_ = ln.Close()
		if isFree(port, ips) && !contains(out, port) {
			out = append(out, port)
		}
		if len(out) == n {
			return out, nil
		}
	}
	return nil, errors.New("no free ports")
}

func contains(list []int, v int) bool {
	for _, x := range list {
		if x == v {
			return true
		}
	}
	return false
}

func isFree(port int, ips []string) bool {
	for _, ip := range ips {
		at := net.JoinHostPort(ip, strconv.Itoa(port))
		ln, err := net.Listen("tcp4", at)
		if err != nil {
			return false
		}
		_ = ln.Close()
		pc, err := net.ListenPacket("udp4", at)
		if err != nil {
			return false
		}
		_ = pc.Close()
	}
	return true
}

// addVMs adds n machines; more is merged into their settings.
func (w *world) addVMs(n, memoryMb int) error {
	block := 1 + int(time.Now().UnixNano()/1000)%200
	ips := make([]string, n)
	for i := range ips {
		ips[i] = fmt.Sprintf("127.0.%d.%d", block, 10+i)
	}
	ports, err := freePorts(6, ips)
	if err != nil {
		return err
	}
	first, last := min(ports[4], ports[5]), max(ports[4], ports[5])
	for i, ip := range ips {
		at := func(k int) string { return net.JoinHostPort(ip, strconv.Itoa(ports[k])) }
		v := &vm{
			w: w, name: fmt.Sprintf("front-zone-a-%d", i+1), ip: ip, front: at(0), ready: at(1), directory: at(2), memoryMb: memoryMb,
			settings: filepath.Join(w.dir, fmt.Sprintf("settings-%d.json", i+1)),
		}
		settings := map[string]any{
			"node": v.name, "role": "node", "machineClass": "front", "serves": []string{"front", "directory"}, "ip": ip, "zone": "zone-a", "region": "region-a",
			"zones":     map[string]string{"zone-a": "region-a"},
			"listen":    map[string]string{"front": v.front, "ready": v.ready, "directory": at(2), "control": at(3)},
			"portRange": []int{first, last}, "seeds": []string{}, "bootstrap": true, "lossCounted": false,
			"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": memoryMb, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
			"dataDir": nil, "discovery": "platform", "entry": "directory", "beatIntervalMs": beatInterval.Milliseconds(),
			"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "platform"},
			"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
			"bounds": map[string]any{
				"seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
				"configApplyMs": 2000, "rollbackSlackMs": 250, "skewMaxMs": 5000, "budgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 56, "recoveryS": 12,
				"transitMs": 120, "retryAfterS": 7, "fenceRequired": false, "leaseMs": 3000, "thawSlackMs": 300, "ttl_max_s": 5,
			},
			"platform": map[string]any{
				"address": w.address, "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 16, "appendMs": 3.0, "partMbS": 20.0, "readMbS": 80.0,
				"recordBytes": 262144, "callBytes": 2097152, "keep_s": 300, "partMb": 200, "ttlMinMs": 1000,
			},
		}
		if err := v.writeSettings(settings); err != nil {
			return err
		}
		w.vms = append(w.vms, v)
	}
	return nil
}

func (v *vm) writeSettings(settings map[string]any) error {
	text, err := json.MarshalIndent(settings, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(v.settings, text, 0o600)
}

// clearBootstrap ends the first start of the whole system in the settings.
func (v *vm) clearBootstrap() error {
	text, err := os.ReadFile(v.settings)
	if err != nil {
		return err
	}
	var settings map[string]any
	if err := json.Unmarshal(text, &settings); err != nil {
		return err
	}
	settings["bootstrap"] = false
	return v.writeSettings(settings)
}

// start starts the process with the command of the deploy file.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.ended {
		return errors.New("ended")
	}
	cmd := exec.Command("target/fescue-node")
	cmd.Env = []string{"FESCUESTAND_SETTINGS=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		f, err := os.OpenFile(filepath.Join(dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer f.Close()
		cmd.Stdout, cmd.Stderr = f, f
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	v.cmd, v.done, v.startedAt = cmd, done, time.Now()
	v.w.record("%s: started", v.name)
	go func() {
		err := cmd.Wait()
		v.w.record("%s: process ended: %v", v.name, err)
		close(done)
	}()
	return nil
}

// kill sends SIGKILL and waits for the end of the process.
func (v *vm) kill() {
	v.mu.Lock()
	cmd, done := v.cmd, v.done
	v.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}

func (v *vm) end() {
	v.mu.Lock()
	v.ended = true
	v.mu.Unlock()
	v.kill()
}

// isRunning reports whether the process runs, and since when.
func (v *vm) isRunning() (time.Time, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.done == nil {
		return time.Time{}, false
	}
	select {
	case <-v.done:
		return time.Time{}, false
	default:
		return v.startedAt, true
	}
}

// isReady asks the process as the platform does.
func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + v.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts all processes and waits until they are ready.
func (w *world) startAll() error {
	for _, v := range w.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	return w.awaitReady(15 * time.Second)
}

func (w *world) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, v := range w.vms {
		for !v.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s isn't ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// residentBytes returns the resident anonymous memory of the process, without that of its program file.
func (v *vm) residentBytes() int64 {
	v.mu.Lock()
	cmd := v.cmd
	v.mu.Unlock()
	if cmd == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}
