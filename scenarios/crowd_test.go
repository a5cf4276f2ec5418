package scenarios

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

const (
	// crowdMemoryMB and crowdDescriptors are the limits of a VM. reservedDescriptors of them are for files.
	crowdMemoryMB       = 64
	crowdDescriptors    = 700
	reservedDescriptors = 200
	// crowdTime is how long a crowd sends at least. It sends until somebody else has been answered.
	crowdTime = 4 * time.Second
	// reconnectPause is the time until a client connects again whose connection was closed.
	reconnectPause = 250 * time.Millisecond
	samplePause    = 100 * time.Millisecond
	// unreadBuffer is the receive buffer in bytes of a client that reads nothing.
	unreadBuffer = 4 << 10
	// crowdAnswerBytes is the length of the answers of plain services in the cases with large answers.
	crowdAnswerBytes = 200 << 10
)

// crowd is a number of connections on which clients do the same.
type crowd struct {
	port        func(v *soakVM) string
	connections int
	first       string        // sent first
	again       string        // sent again and again until the connection ends, unless it is empty
	pause       time.Duration // after each time
	readPause   time.Duration // after each byte that is read; nothing is read if it is zero
	reset       bool          // the connection is reset at once after first
}

// crowdEndpoints is what endpoints do while a crowd sends.
type crowdEndpoints int

const (
	endpointsServe crowdEndpoints = iota
	endpointsFull
	endpointsSilent
)

// crowdCase is one case of TestCrowdsLeaveOrdinaryCallersAnswers.
type crowdCase struct {
	crowds    []crowd
	endpoints crowdEndpoints
	answer    int  // length of the answers of plain services, zero for the default
	stop      bool // the VM gets SIGTERM in the middle
	keyed     bool // the crowds' requests carry the key of one workspace
	datagrams int  // senders of datagrams to the port between VMs
	// descriptors of the VM, zero for crowdDescriptors. With many of them its memory is what is short.
	descriptors int
}

// manyDescriptors are those of the users' VMs.
const manyDescriptors = 4200

func frontPort(v *soakVM) string     { return v.front }
func readyPort(v *soakVM) string     { return v.ready }
func directoryPort(v *soakVM) string { return v.directory }
func peerPort(v *soakVM) string      { return fmt.Sprintf("127.0.0.1:%d", v.ports[0]) }
func metricsPort(v *soakVM) string   { return fmt.Sprintf("127.0.0.1:%d", v.ports[1]) }

func crowdHead(method, path, more string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + soakHost + "\r\nAttempt-Id: c\r\nDeadline-Ms: 4000\r\n" + more
}

func crowdPost(path string, bytes int) string {
	return crowdHead("POST", path, fmt.Sprintf("Content-Length: %d\r\n\r\n", bytes)) + strings.Repeat("a", bytes)
}

var (
	crowdGet         = crowdHead("GET", pathReads, "\r\n")
	crowdStream      = crowdHead("POST", pathResumable, "Token-Count: 300,20\r\nContent-Length: 2\r\n\r\n") + "ab"
	unfinishedHead   = crowdHead("GET", pathReads, "X-A: "+strings.Repeat("a", 15<<10))
	unfinishedBody   = crowdHead("POST", pathReads, "Content-Length: 60000\r\n\r\n") + strings.Repeat("a", 59_000)
	tinyChunks       = crowdHead("POST", pathReads, "Transfer-Encoding: chunked\r\n\r\n")
	resolveAhead     = "GET /resolve?name=" + soakHost + "&zone=z HTTP/1.1\r\nHost: d\r\n\r\n"
	readinessAhead   = "GET /readiness HTTP/1.1\r\nHost: r\r\n\r\n"
	metricsAhead     = "GET / HTTP/1.1\r\nHost: m\r\n\r\n"
	peerPost         = "POST /config HTTP/1.1\r\nHost: p\r\nContent-Length: 15000\r\n\r\n" + strings.Repeat("a", 15000)
	bodiesCrowd      = crowd{port: frontPort, connections: 650, first: crowdPost(pathReads, 15000), again: crowdPost(pathReads, 15000)}
	keyedRequest     = crowdHead("POST", pathReads, "Authorization: Token crowd\r\nContent-Length: 15000\r\n\r\n") + strings.Repeat("a", 15000)
	keyedCrowd       = crowd{port: frontPort, connections: 650, first: keyedRequest, again: keyedRequest}
	headersCrowd     = crowd{port: frontPort, connections: 1500, first: unfinishedHead}
	silentCrowd      = crowd{port: frontPort, connections: 1500}
	directoryCrowd   = crowd{port: directoryPort, connections: 650, first: resolveAhead, again: strings.Repeat(resolveAhead, 100)}
	readyCrowd       = crowd{port: readyPort, connections: 1500, first: readinessAhead}
	metricsCrowd     = crowd{port: metricsPort, connections: 1500, first: metricsAhead, again: metricsAhead}
	peerCrowd        = crowd{port: peerPort, connections: 1000, first: peerPost, again: peerPost}
	allCrowds        = []crowd{bodiesCrowd, headersCrowd, directoryCrowd, readyCrowd, metricsCrowd, peerCrowd}
	partialBodyCrowd = crowd{port: frontPort, connections: 400, first: unfinishedBody}
)

// crowdCases are crowds at one VM.
var crowdCases = map[string]crowdCase{
	"few_requests_ahead":      {crowds: []crowd{{port: frontPort, connections: 20, first: crowdPost(pathReads, 60_000), again: crowdPost(pathReads, 60_000)}}},
	"few_bodies_ahead":        {crowds: []crowd{{port: frontPort, connections: 40, first: crowdPost(pathReads, 60_000), again: strings.Repeat(crowdPost(pathReads, 60_000), 4)}}, answer: crowdAnswerBytes},
	"requests_ahead":          {crowds: []crowd{{port: frontPort, connections: 650, first: crowdGet, again: strings.Repeat(crowdGet, 50)}}},
	"bodies_ahead":            {crowds: []crowd{bodiesCrowd}},
	"bodies_ahead_full":       {crowds: []crowd{bodiesCrowd}, endpoints: endpointsFull},
	"bodies_ahead_silent":     {crowds: []crowd{bodiesCrowd}, endpoints: endpointsSilent},
	"bodies_ahead_in_stop":    {crowds: []crowd{bodiesCrowd}, stop: true},
	"bodies_ahead_in_memory":  {crowds: []crowd{bodiesCrowd}, descriptors: manyDescriptors},
	"headers_in_memory":       {crowds: []crowd{headersCrowd}, descriptors: manyDescriptors},
	"all_in_memory":           {crowds: allCrowds, descriptors: manyDescriptors},
	"large_answers_unread":    {crowds: []crowd{{port: frontPort, connections: 650, first: crowdGet, again: crowdGet}}, answer: crowdAnswerBytes},
	"large_answers_slow":      {crowds: []crowd{{port: frontPort, connections: 650, first: crowdGet, readPause: 200 * time.Millisecond}}, answer: crowdAnswerBytes},
	"streams_unread":          {crowds: []crowd{{port: frontPort, connections: 650, first: crowdStream, again: strings.Repeat(crowdStream, 20)}}},
	"silent":                  {crowds: []crowd{silentCrowd}},
	"silent_in_stop":          {crowds: []crowd{silentCrowd}, stop: true},
	"unfinished_headers":      {crowds: []crowd{headersCrowd}},
	"unfinished_bodies":       {crowds: []crowd{partialBodyCrowd}},
	"tiny_chunks":             {crowds: []crowd{{port: frontPort, connections: 650, first: tinyChunks, again: strings.Repeat("1\r\na\r\n", 10), pause: 50 * time.Millisecond}}},
	"resets":                  {crowds: []crowd{{port: frontPort, connections: 100, first: crowdGet, reset: true}}},
	"directory":               {crowds: []crowd{directoryCrowd}},
	"ready":                   {crowds: []crowd{readyCrowd}},
	"metrics":                 {crowds: []crowd{metricsCrowd}},
	"between_vms":             {crowds: []crowd{peerCrowd}},
	"all_together":            {crowds: allCrowds},
	"all_together_in_stop":    {crowds: allCrowds, stop: true},
	"silent_at_all_ports":     {crowds: crowdsAtAllPorts(1000, "")},
	"datagrams":               {datagrams: 20},
	"one_workspace":           {crowds: []crowd{keyedCrowd, headersCrowd}, keyed: true},
	"unfinished_at_all_ports": {crowds: crowdsAtAllPorts(500, unfinishedHead)},
}

// crowdsAtAllPorts returns a crowd for each port of a VM.
func crowdsAtAllPorts(connections int, first string) []crowd {
	var out []crowd
	for _, port := range []func(*soakVM) string{frontPort, readyPort, directoryPort, peerPort, metricsPort} {
		out = append(out, crowd{port: port, connections: connections, first: first})
	}
	return out
}

// send has the clients of a crowd send to a VM until ctx ends.
func (c *crowd) send(ctx context.Context, addr string, clients *sync.WaitGroup) {
	for range c.connections {
		clients.Go(func() {
			for ctx.Err() == nil {
				c.sendOnce(ctx, addr)
				clock.Sleep(ctx, reconnectPause)
			}
		})
	}
}

// sendOnce sends on one connection until it or ctx ends.
func (c *crowd) sendOnce(ctx context.Context, addr string) {
	d := net.Dialer{Timeout: time.Second}
	nc, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return
	}
	ended, end := context.WithCancel(ctx)
	defer end()
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	defer stop()
	defer func() { _ = nc.Close() }()
	if tcp := nc.(*net.TCPConn); tcp.SetReadBuffer(unreadBuffer) != nil || c.reset && tcp.SetLinger(0) != nil {
		return
	}
	if _, err = io.WriteString(nc, c.first); err != nil || c.reset {
		return
	}
	if c.readPause > 0 {
		go readSlowly(ended, end, nc, c.readPause)
	}
	if c.again == "" {
		awaitReset(ended, nc)
		return
	}
	for err == nil {
		_, err = io.WriteString(nc, c.again)
		clock.Sleep(ended, c.pause)
	}
}

// sendDatagrams sends datagrams that are no messages until ctx ends.
func sendDatagrams(ctx context.Context, addr string) {
	nc, err := net.Dial("udp4", addr)
	if err != nil {
		return
	}
	defer func() { _ = nc.Close() }()
	junk := bytes.Repeat([]byte("a"), 1<<10)
	for clock.Sleep(ctx, time.Millisecond) {
		_, _ = nc.Write(junk) // fails while the VM doesn't listen
	}
}

func readSlowly(ctx context.Context, end context.CancelFunc, nc net.Conn, pause time.Duration) {
	defer end()
	var b [1]byte
	for clock.Sleep(ctx, pause) {
		if _, err := nc.Read(b[:]); err != nil {
			return
		}
	}
}

// awaitReset returns when ctx ends or the VM has closed or reset a connection that isn't read.
func awaitReset(ctx context.Context, nc net.Conn) {
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	for clock.Sleep(ctx, reconnectPause) {
		closed := false
		err := raw.Control(func(fd uintptr) {
			fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			n, err := unix.Poll(fds, 0)
			closed = err == nil && n > 0
		})
		if err != nil || closed {
			return
		}
	}
}

// vmUsage is what a VM's process uses.
type vmUsage struct {
	memoryKB int // resident, and received and not yet read
	sockets  int // and pipes
}

// usageOf returns what a process uses that listens on these ports.
func usageOf(pid int, ports []int) vmUsage {
	u := vmUsage{memoryKB: residentKB(pid) + unreadBytes(ports)>>10}
	dir := fmt.Sprintf("/proc/%d/fd/", pid)
	list, _ := os.ReadDir(dir) // empty if the process has ended
	for _, e := range list {
		target, _ := os.Readlink(dir + e.Name())
		if strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:") {
			u.sockets++
		}
	}
	return u
}

// residentKB returns the resident memory of a process, zero if it has ended.
func residentKB(pid int) int { return statusKB(pid, "VmRSS:") }

// unreadBytes returns what has been received on connections to local ports and not been read.
func unreadBytes(ports []int) int {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	const listening = "0A"
	sum := 0
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[3] == listening {
			continue
		}
		_, hexPort, _ := strings.Cut(fields[1], ":")
		port, err := strconv.ParseInt(hexPort, 16, 32)
		if err != nil || !slices.Contains(ports, int(port)) {
			continue
		}
		_, hexUnread, _ := strings.Cut(fields[4], ":")
		unread, _ := strconv.ParseInt(hexUnread, 16, 64)
		sum += int(unread)
	}
	return sum
}

// measure records the most that a process uses until ctx ends.
func measure(ctx context.Context, pid int, ports []int, most *vmUsage) {
	for {
		u := usageOf(pid, ports)
		most.memoryKB, most.sockets = max(most.memoryKB, u.memoryKB), max(most.sockets, u.sockets)
		if !clock.Sleep(ctx, samplePause) {
			return
		}
	}
}

// limitDescriptors limits the files that a process may open.
func limitDescriptors(t *testing.T, p *process, n uint64) {
	assert.NilError(t, unix.Prlimit(int(p.pid.Load()), unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n}, nil))
}

// plainBinaries is a folder with the programs without the race detector, which takes several times the memory.
var plainBinaries = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp(binaries, "plain-")
	if err != nil {
		return "", err
	}
	return dir, exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../cmd/...").Run()
})

// plainNode returns the path of fescue-node without the race detector.
func plainNode(t *testing.T) string {
	dir, err := plainBinaries()
	assert.NilError(t, err)
	return filepath.Join(dir, "fescue-node")
}

// restartLimited restarts a VM with the limits of a crowd's case.
func (s *soak) restartLimited(v *soakVM, descriptors int, keyed bool) {
	v.proc.kill()
	v.proc.binary = plainNode(s.t)
	text, err := os.ReadFile(s.file(v, "json"))
	assert.NilError(s.t, err)
	limits := fmt.Sprintf(`"memoryMb": %d, "maxFds": %d`, crowdMemoryMB, descriptors)
	limited := strings.Replace(string(text), `"memoryMb": 284`, limits, 1)
	if keyed {
		limited = strings.Replace(limited, `"bounds": {`, `"contracts": ["tenants"], "bounds": {"configApplyMs": 2000, "revokeMs": 2000, `, 1)
	}
	assert.NilError(s.t, os.WriteFile(s.file(v, "json"), []byte(limited), 0o600))
	s.startLimited(v, descriptors)
}

func (s *soak) startLimited(v *soakVM, descriptors int) {
	assert.NilError(s.t, v.proc.start())
	limitDescriptors(s.t, v.proc, uint64(descriptors))
}

// addWorkspace has the configuration name a workspace; requests need no key, so that ordinary ones are of none.
func (s *soak) addWorkspace() {
	text := strings.Replace(s.configs[0].text, `"limits": {`, `"tenants": [{"name": "crowd", "apiKeys": ["crowd"]}], "limits": {`, 1)
	text = strings.ReplaceAll(text, `"maxAttempts": 2`, `"maxAttempts": 2, "anonymous": true`)
	s.store.Put("keyed.op", "config", strings.Replace(text, `"version": 1,`, `"version": 2,`, 1))
}

// setEndpoints has the endpoints do what a case asks for.
func (s *soak) setEndpoints(what crowdEndpoints) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		switch what {
		case endpointsServe:
			e.Pause(0)
			e.SetRetryAfter("")
		case endpointsFull:
			e.SetRetryAfter("0.2")
		case endpointsSilent:
			e.Pause(time.Hour)
		}
	}
}

// ordinary counts the answers of a VM to those who send one request at a time, each on a connection of its own.
type ordinary struct{ requests, lookUps atomic.Int64 }

// ask sends requests and look-ups to a VM until ctx ends.
func (o *ordinary) ask(ctx context.Context, s *soak, v *soakVM, running *sync.WaitGroup) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerTimeout}
	ask := func(method, url, name string, successes *atomic.Int64) {
		for n := 0; ctx.Err() == nil; n++ {
			if s.askOnce(ctx, client, method, url, fmt.Sprintf("%s-%s-%d", name, v.name, n)) {
				successes.Add(1)
			}
			clock.Sleep(ctx, requestInterval)
		}
	}
	running.Go(func() { ask(http.MethodPost, "http://"+v.front+pathReads, "o", &o.requests) })
	running.Go(func() {
		ask(http.MethodGet, "http://"+v.directory+"/resolve?name="+soakHost+"&zone=z", "l", &o.lookUps)
	})
}

func (s *soak) askOnce(ctx context.Context, client *http.Client, method, url, id string) bool {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(id))
	if err != nil {
		return false
	}
	req.Host = soakHost
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// awaitOrdinary waits until a VM has answered a single request, a look-up and a readiness check.
func (s *soak) awaitOrdinary(v *soakVM) {
	ctx, cancel := context.WithTimeout(s.ctx, knownTimeout)
	defer cancel()
	s.awaitAnswer(ctx, v, pathReads)
	s.awaitAnswer(ctx, v, pathResumable)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerTimeout}
	for _, url := range []string{"http://" + v.directory + "/resolve?name=" + soakHost + "&zone=z", "http://" + v.ready + "/readiness", "http://" + metricsPort(v)} {
		for !s.askOnce(ctx, client, http.MethodGet, url, "") {
			if !clock.Sleep(ctx, reportInterval) {
				s.t.Fatalf("%s: no answer from %s", v.name, url)
			}
		}
	}
}

func (v *soakVM) allPorts(t *testing.T) []int {
	return append(v.ports[:], port(t, v.front), port(t, v.ready), port(t, v.directory))
}

// run sends the crowds to a VM and judges what it uses and whom it answers.
func (c *crowdCase) run(t *testing.T) {
	s := newSoakOf(t, 1, engineSetup{count: 1, services: 2, vms: 2, versions: []string{"v1"}, answerBytes: c.answer})
	if c.keyed {
		s.addWorkspace()
	}
	descriptors := cmp.Or(c.descriptors, crowdDescriptors)
	for _, v := range s.vms {
		s.restartLimited(v, descriptors, c.keyed)
	}
	s.awaitAnswers(pathReads, pathResumable)
	target, other := s.vms[0], s.vms[1]
	pid, log := int(target.proc.pid.Load()), target.proc.log

	ctx, stop := context.WithTimeout(s.ctx, knownTimeout)
	defer stop()
	var most vmUsage
	var atTarget, atOther ordinary
	var running sync.WaitGroup
	running.Go(func() { measure(ctx, pid, target.allPorts(t), &most) })
	s.setEndpoints(c.endpoints)
	for _, crowd := range c.crowds {
		crowd.send(ctx, crowd.port(target), &running)
	}
	for range c.datagrams {
		running.Go(func() { sendDatagrams(ctx, peerPort(target)) })
	}
	atTarget.ask(ctx, s, target, &running)
	atOther.ask(ctx, s, other, &running)
	clock.Sleep(ctx, crowdTime/2)
	if c.stop {
		assert.Check(t, target.proc.signal(syscall.SIGTERM))
		_, err := target.proc.await()
		assert.Check(t, err)
	}
	clock.Sleep(ctx, crowdTime/2)
	isAnswered := func() bool {
		requests := atTarget.requests.Load() > 0 && atOther.requests.Load() > 0
		return (requests || c.endpoints != endpointsServe) && atTarget.lookUps.Load() > 0
	}
	for !c.stop && !isAnswered() && target.proc.running() && clock.Sleep(ctx, samplePause) {
	}
	stop()
	running.Wait()
	s.setEndpoints(endpointsServe)
	requests, lookUps := atTarget.requests.Load(), atTarget.lookUps.Load()
	t.Logf("at most %d KB, %d sockets; %d requests and %d look-ups answered, %d at the other VM", most.memoryKB, most.sockets, requests, lookUps, atOther.requests.Load())

	assert.Check(t, most.memoryKB < crowdMemoryMB<<10, "memory: %d KB", most.memoryKB)
	assert.Check(t, most.sockets <= descriptors-reservedDescriptors, "%d sockets", most.sockets)
	assert.Check(t, c.stop || target.proc.running(), "the process has ended:\n%s", endOfLog(log))
	if c.endpoints == endpointsServe {
		assert.Check(t, requests > 0 && atOther.requests.Load() > 0, "no ordinary request was answered")
	}
	assert.Check(t, lookUps > 0, "no look-up was answered")
	if c.stop {
		s.startLimited(target, descriptors)
	}
	s.awaitOrdinary(target)
}

// Guards against clients that take a VM's memory or descriptors, alone or many together, whatever they send and read, so
// that its process ends or hangs or answers nobody else.
func TestCrowdsLeaveOrdinaryCallersAnswers(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(crowdCases)) {
		t.Run(name, func(t *testing.T) {
			c := crowdCases[name]
			c.run(t)
		})
	}
}
