package scenarios

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

const (
	// boundedMemoryMB is the memory limit of the smallest VMs.
	boundedMemoryMB = 144
	// boundedCallers send requests to each VM at the same time, for boundedLoadTime.
	boundedCallers  = 8
	boundedLoadTime = 8 * time.Second
	boundedDeadline = 1500 * time.Millisecond
	// floodPart and floodPause give 32 MB/s for each connection.
	floodPart  = 64 << 10
	floodPause = 2 * time.Millisecond
)

// floods are responses without end: what is sent first, and then again and again.
var floods = map[string][2]string{
	"header":    {"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nX-A: ", "a"},
	"interim":   {"", "HTTP/1.1 103 X\r\n\r\n"},
	"closed":    {"HTTP/1.1 200 OK\r\nServer-Seal: s\r\n\r\n", "a"},
	"chunked":   {"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\naaaa\r\n"},
	"rejection": {"HTTP/1.1 503 X\r\nNot-Executed: 1\r\n\r\n", "a"},
	"surplus":   {"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nok", "a"},
	"event":     {"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\naaaa\r\n"},
}

// floodRuns are the bodies of the requests that got a flood, but for rejections and prefills, which are no runs.
type floodRuns struct{ sync.Map }

// listen starts an endpoint that answers each request with the flood that its body names.
func (f *floodRuns) listen(t *testing.T) (addr string) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				f.serve(c)
			}()
		}
	}()
	return ln.Addr().String()
}

func (f *floodRuns) serve(c net.Conn) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name, _, _ := strings.Cut(string(body), " ")
	if name != "rejection" && r.Header.Get("Stage") == "" {
		f.Store(string(body), true)
	}
	flood, ok := floods[name]
	if !ok {
		flood = floods["closed"] // a control call to an engine
	}
	sendFlood(c, flood)
}

// sendFlood sends a flood until the connection is closed.
func sendFlood(c net.Conn, flood [2]string) {
	part := []byte(strings.Repeat(flood[1], max(floodPart/len(flood[1]), 1)))
	_, err := io.WriteString(c, flood[0])
	for err == nil {
		_, err = c.Write(part)
		time.Sleep(floodPause)
	}
}

// Guards against endpoints that send without end and fill a VM's memory, against parts of their responses that callers
// get as whole ones, and against refusals that deny a run. With -soak.old the VMs of the other build are measured as well and not judged.
func TestResponsesWithoutEndTakeBoundedMemory(t *testing.T) {
	s := newSoakOf(t, 1, engineSetup{count: 1, services: 1, versions: []string{"v1"}})
	plain := plainNode(t)
	for _, v := range s.vms {
		s.restartSmall(v, plain)
	}
	s.awaitAnswers(pathReads)
	var runs floodRuns
	s.replaceByFloods(&runs)
	s.awaitFloods()

	var mu sync.Mutex
	results := map[string]int{}
	var callers sync.WaitGroup
	until := time.Now().Add(boundedLoadTime)
	for i, v := range s.vms {
		judged := v.proc.binary == plain
		for caller := range boundedCallers {
			callers.Go(func() {
				for n := 0; time.Now().Before(until); n++ {
					for kind := range floods {
						body := fmt.Sprintf("%s f-%d-%d-%d", kind, i, caller, n)
						result := s.askFlood(v, kind, body)
						mu.Lock()
						results[v.name+" "+kind+" "+result]++
						mu.Unlock()
						if judged && kind != "surplus" && result == resultWhole {
							t.Errorf("%s: a part of a response without end (%s) came as a whole one", v.name, kind)
						}
						if _, ran := runs.Load(body); judged && ran && strings.HasPrefix(result, "503") {
							t.Errorf("%s: %q denies that the request has run (%s)", v.name, body, result)
						}
					}
				}
			})
		}
	}
	callers.Wait()
	t.Log(results)
	for _, v := range s.vms {
		peak := peakMemoryMB(t, int(v.proc.pid.Load()))
		t.Logf("%s: at most %d MB, other build: %t", v.name, peak, v.proc.binary != plain)
		if v.proc.binary == plain {
			assert.Check(t, v.proc.running() && peak < boundedMemoryMB, "%s took %d MB", v.name, peak)
		}
	}
}

// storeFloods are answers of the store without end, or longer than any of its pages.
var storeFloods = map[string][2]string{
	"header":  {"HTTP/1.1 200 OK\r\nStore-Era: 1\r\nX-A: ", "a"},
	"interim": {"", "HTTP/1.1 103 X\r\n\r\n"},
	"closed":  {"HTTP/1.1 200 OK\r\nStore-Era: 1\r\n\r\n", "a"},
	"chunked": {"HTTP/1.1 200 OK\r\nStore-Era: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\naaaa\r\n"},
	"length":  {"HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: 1099511627776\r\n\r\n", "a"},
	"surplus": {"HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: 2\r\n\r\n{}", "a"},
	"failure": {"HTTP/1.1 500 X\r\n\r\n", "a"},
	// Lengths of records that take more memory than what stands for them.
	"records": {"HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: 16000000\r\n\r\n", "\x00"},
	"items":   {"HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: 16000000\r\n\r\n{\"end\":1,\"items\":[{}", ",{}"},
}

// storeFloodTime is how long the store sends each of its floods.
const storeFloodTime = 3 * time.Second

// Guards against answers of the store without end that fill the VMs' memory, or that callers notice.
func TestStoreWithoutEndTakesBoundedMemory(t *testing.T) {
	s := newSoakOf(t, 1, engineSetup{count: 1, services: 2, versions: []string{"v1"}})
	plain := plainNode(t)
	for _, v := range s.vms {
		s.restartSmall(v, plain)
	}
	s.awaitAnswers(pathReads)
	for name, flood := range storeFloods {
		s.store.SetOverride(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			sendFlood(c, flood)
		}))
		for _, v := range s.vms {
			v.link.ResetConnections()
		}
		results := s.askDuring(storeFloodTime)
		for _, v := range s.vms {
			peak := peakMemoryMB(t, int(v.proc.pid.Load()))
			t.Logf("%s: %s: at most %d MB so far, %d descriptors, %v", name, v.name, peak, s.descriptors(v), results)
			assert.Check(t, v.proc.running() && peak < boundedMemoryMB, "%s: %s took %d MB", name, v.name, peak)
		}
	}
	s.store.SetOverride(nil)
	s.awaitAnswers(pathReads)
}

// callerFlood is a request without end: what is sent first, and then again and again with a pause.
type callerFlood struct {
	first, again string
	pause        time.Duration
}

const (
	floodHead = "POST " + pathReads + " HTTP/1.1\r\nHost: " + soakHost + "\r\nAttempt-Id: f\r\n"
	dripPause = 100 * time.Millisecond
	// floodCallers send such requests to each VM at the same time.
	floodCallers = 50
	// callerFloodTime is how long they do so.
	callerFloodTime = 3 * time.Second
)

// callerFloods are requests without end, or requests without end whose answers nobody reads.
var callerFloods = map[string]callerFlood{
	"request line":  {"POST /", strings.Repeat("a", floodPart), floodPause},
	"field":         {floodHead + "X-A: ", strings.Repeat("a", floodPart), floodPause},
	"fields":        {floodHead, strings.Repeat("X-A: b\r\n", 4<<10), floodPause},
	"long header":   {floodHead + "X-A: " + strings.Repeat("a", 60_000), "a", dripPause},
	"header drip":   {floodHead + "X-A: ", "a", dripPause},
	"body drip":     {floodHead + "Content-Length: 60000\r\n\r\n", "a", dripPause},
	"chunks":        {floodHead + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("4\r\naaaa\r\n", 4<<10), floodPause},
	"chunk drip":    {floodHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", dripPause},
	"extension":     {floodHead + "Transfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("a", floodPart), floodPause},
	"trailers":      {floodHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X-A: b\r\n", 4<<10), floodPause},
	"length":        {floodHead + "Content-Length: 1099511627776\r\n\r\n", strings.Repeat("a", floodPart), floodPause},
	"no route":      {"POST /none HTTP/1.1\r\nHost: " + soakHost + "\r\nContent-Length: 1099511627776\r\n\r\n", strings.Repeat("a", floodPart), floodPause},
	"requests":      {"", strings.Repeat("GET /none HTTP/1.1\r\nHost: "+soakHost+"\r\n\r\n", 1<<10), floodPause},
	"other HTTP":    {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", strings.Repeat("\x00", floodPart), floodPause},
	"not a request": {"", strings.Repeat("a", floodPart), floodPause},
}

// Guards against callers that send without end, at any pace, and fill a VM's memory, hold its descriptors, or take the
// answers from other callers.
func TestRequestsWithoutEndTakeBoundedMemory(t *testing.T) {
	s := newSoakOf(t, 1, engineSetup{count: 1, services: 2, versions: []string{"v1"}})
	plain := plainNode(t)
	for _, v := range s.vms {
		s.restartSmall(v, plain)
	}
	s.awaitAnswers(pathReads)
	for name, flood := range callerFloods {
		ctx, stop := context.WithTimeout(s.ctx, callerFloodTime)
		var callers sync.WaitGroup
		for _, v := range s.vms {
			for range floodCallers {
				callers.Go(func() { s.sendRequests(ctx, v, flood) })
			}
		}
		results := s.askDuring(callerFloodTime)
		stop()
		callers.Wait()
		assert.Check(t, results[http.StatusOK] > 0 && len(results) == 1, "%s: %v", name, results)
		for _, v := range s.vms {
			peak := peakMemoryMB(t, int(v.proc.pid.Load()))
			t.Logf("%s: %s: at most %d MB so far, %d descriptors, %v", name, v.name, peak, s.descriptors(v), results)
			assert.Check(t, v.proc.running() && peak < boundedMemoryMB, "%s: %s took %d MB", name, v.name, peak)
		}
	}
}

// sendRequests sends a flood to a VM until ctx ends, on a new connection whenever the VM has closed one.
func (s *soak) sendRequests(ctx context.Context, v *soakVM, flood callerFlood) {
	var d net.Dialer
	for ctx.Err() == nil {
		c, err := d.DialContext(ctx, "tcp4", v.front)
		if err != nil {
			continue
		}
		closeEarly := context.AfterFunc(ctx, func() { _ = c.Close() })
		_, err = io.WriteString(c, flood.first)
		for err == nil {
			_, err = io.WriteString(c, flood.again)
			clock.Sleep(ctx, flood.pause)
		}
		closeEarly()
		_ = c.Close()
		clock.Sleep(ctx, dripPause)
	}
}

// descriptors returns the number of files that a VM's process has open.
func (s *soak) descriptors(v *soakVM) int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", v.proc.pid.Load()))
	assert.Check(s.t, err)
	return len(list)
}

// askDuring sends requests to all VMs for a time and counts the statuses of the answers, zero for none.
func (s *soak) askDuring(d time.Duration) map[int]int {
	var mu sync.Mutex
	statuses := map[int]int{}
	var callers sync.WaitGroup
	until := time.Now().Add(d)
	for _, v := range s.vms {
		for caller := range boundedCallers {
			callers.Go(func() {
				for n := 0; time.Now().Before(until); n++ {
					status, err := s.probe(s.ctx, v, pathReads, fmt.Sprintf("b-%s-%d-%d-%d", v.name, caller, n, until.UnixNano()))
					if err != nil {
						status = 0
					}
					mu.Lock()
					statuses[status]++
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	callers.Wait()
	return statuses
}

// restartSmall restarts a VM with the memory limit of the smallest ones, and with this build unless it has another.
func (s *soak) restartSmall(v *soakVM, binary string) {
	v.proc.kill()
	if v.proc.binary == "" {
		v.proc.binary = binary
	}
	text, err := os.ReadFile(s.file(v, "json"))
	assert.NilError(s.t, err)
	small := strings.Replace(string(text), `"memoryMb": 284`, fmt.Sprintf(`"memoryMb": %d`, boundedMemoryMB), 1)
	assert.NilError(s.t, os.WriteFile(s.file(v, "json"), []byte(small), 0o600))
	assert.NilError(s.t, v.proc.start())
}

// replaceByFloods replaces the endpoints by such that send without end.
func (s *soak) replaceByFloods(runs *floodRuns) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		e.removed = true
	}
	entry := `{"service":%q,"address":%q,"zone":"z","version":"v1","slots":32,"state":"ready","stage":%q,"sequence":1,"born":%d}`
	for i, e := range [][2]string{{"s", ""}, {"s", ""}, {"m", "decode"}, {"m", "decode"}} {
		s.store.Put("keyed.servers", fmt.Sprintf("flood-%d", i), fmt.Sprintf(entry, e[0], runs.listen(s.t), e[1], time.Now().UnixMilli()))
	}
}

// resultWhole is the result of a request that got a whole success.
const resultWhole = "whole"

// askFlood sends a request and returns its result: resultWhole, "cut", or the status and the result code.
func (s *soak) askFlood(v *soakVM, kind, body string) string {
	path := pathReads
	switch {
	case kind == "event":
		path = pathResumable
	case strings.HasSuffix(body, "1"):
		path = pathPay
	}
	req, err := http.NewRequestWithContext(s.ctx, http.MethodPost, "http://"+v.front+path, strings.NewReader(body))
	assert.Check(s.t, err)
	req.Host = soakHost
	req.Header.Set("Attempt-Id", strings.ReplaceAll(body, " ", "-"))
	req.Header.Set("Deadline-Ms", strconv.FormatInt(boundedDeadline.Milliseconds(), 10))
	if kind == "event" {
		req.Header.Set("Token-Count", "300,20")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "cut"
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 2*floodPart))
	switch {
	case err != nil:
		return "cut"
	case resp.StatusCode == http.StatusOK:
		return resultWhole
	}
	code, _, _ := strings.Cut(string(text), " ")
	return fmt.Sprintf("%d/%.4s", resp.StatusCode, code)
}

// awaitFloods waits until no VM knows an endpoint that answers in order.
func (s *soak) awaitFloods() {
	ctx, cancel := context.WithTimeout(s.ctx, knownTimeout)
	defer cancel()
	for _, v := range s.vms {
		for n := 0; s.askFlood(v, "rejection", fmt.Sprintf("rejection k-%s-%d-0", v.name, n)) == resultWhole; n++ {
			if !clock.Sleep(ctx, reportInterval) {
				s.t.Fatalf("%s still knows an endpoint that answers", v.name)
			}
		}
	}
}

// peakMemoryMB returns the most memory that a process has had resident, in MB.
func peakMemoryMB(t *testing.T, pid int) int {
	kb := statusKB(pid, "VmHWM:")
	assert.Assert(t, kb > 0)
	return kb >> 10
}

// statusKB returns a figure of a process's status, zero if the process has ended.
func statusKB(pid int, name string) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, rest, _ := strings.Cut(string(text), name)
	if fields := strings.Fields(rest); len(fields) > 0 {
		kb, _ := strconv.Atoi(fields[0])
		return kb
	}
	return 0
}
