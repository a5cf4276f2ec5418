package scenarios

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/peer"
	"fescuestand/internal/wire"
)

const (
	// entryMemoryMB is the memory of the machine of a fescue-entry, and entryMemoryLimit the limit of its process.
	entryMemoryMB    = 128
	entryMemoryLimit = "GOMEMLIMIT=64MiB"
	// entryDescriptors is the number of files that the process may open.
	entryDescriptors = 256
	// peerSessions are opened by a crowd of peers, each with peerStreams streams that send a part of a long message.
	peerSessions    = 8
	peerStreams     = 256
	peerUnfinished  = 200 << 10
	peerMessageSize = 4 << 20
)

// entryCase is one case of TestCrowdsLeaveTheOwnInterface. The crowds' ports are those of a vm.
type entryCase struct {
	port        func(v *vm) string
	connections int
	first       string
	again       string
	peers       func(ctx context.Context, addr string, clients *sync.WaitGroup)
}

func callerPort(v *vm) string    { return v.caller }
func entryPeerPort(v *vm) string { return v.peer }
func statusPort(v *vm) string    { return v.status }

const (
	lookUpHead  = "POST /v1/services/trace/lookup HTTP/1.1\r\nHost: e\r\nCaller: c\r\nWorkspace: w\r\nDeadline-Ms: 5000\r\nContent-Type: application/json\r\n"
	lookUpAhead = lookUpHead + "Content-Length: 2\r\n\r\n{}"
	statusAhead = "GET /status HTTP/1.1\r\nHost: e\r\n\r\n"
)

var entryCases = map[string]entryCase{
	"callers_silent":         {callerPort, 600, "", "", nil},
	"callers_requests_ahead": {callerPort, 600, lookUpAhead, strings.Repeat(lookUpAhead, 50), nil},
	"callers_bodies":         {callerPort, 600, lookUpHead + "Content-Length: 60000\r\n\r\n" + strings.Repeat(" ", 59_000), "", nil},
	"callers_headers":        {callerPort, 600, lookUpHead + "X-A: " + strings.Repeat("a", 15<<10), "", nil},
	"callers_http2":          {callerPort, 600, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "", nil},
	"status_silent":          {statusPort, 600, "", "", nil},
	"status_requests_ahead":  {statusPort, 600, statusAhead, strings.Repeat(statusAhead, 50), nil},
	"peers_silent":           {entryPeerPort, 600, "", "", nil},
	"peers_no_messages":      {entryPeerPort, 600, strings.Repeat("a", 4<<10), "", nil},
	"peers_unfinished":       {entryPeerPort, 0, "", "", sendUnfinishedMessages},
}

// sendUnfinishedMessages opens sessions with streams that send a part of a message each.
func sendUnfinishedMessages(ctx context.Context, addr string, clients *sync.WaitGroup) {
	for range peerSessions {
		clients.Go(func() {
			session, err := openSession(addr)
			if err != nil {
				return
			}
			defer func() { _ = session.Close() }()
			stop := context.AfterFunc(ctx, func() { _ = session.Close() })
			defer stop()
			part := binary.BigEndian.AppendUint32(nil, peerMessageSize)
			part = append(part, make([]byte, peerUnfinished)...)
			for range peerStreams {
				stream, err := session.OpenStream()
				if err != nil {
					return
				}
				clients.Go(func() { _, _ = stream.Write(part) })
			}
			<-ctx.Done()
		})
	}
}

// openSession opens a session as another VM does.
func openSession(addr string) (*yamux.Session, error) {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	if err := greet(nc); err != nil {
		_ = nc.Close()
		return nil, err
	}
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	return yamux.Client(nc, c)
}

// greet exchanges the first messages of a session.
func greet(nc net.Conn) error {
	hello, err := proto.Marshal(&wire.Hello{Protocol: peer.Protocol, Deployment: "scenario", Vm: "crowd", Zone: "north", Process: "entry"})
	if err != nil {
		return err
	}
	if err := nc.SetDeadline(time.Now().Add(callerTimeout)); err != nil {
		return err
	}
	if _, err := nc.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(hello))), hello...)); err != nil {
		return err
	}
	var size [4]byte
	if _, err := io.ReadFull(nc, size[:]); err != nil {
		return err
	}
	if _, err := io.CopyN(io.Discard, nc, int64(binary.BigEndian.Uint32(size[:]))); err != nil {
		return err
	}
	return nc.SetDeadline(time.Time{})
}

// startLimitedEntry starts a fescue-entry beside stand-ins and waits until it serves.
func startLimitedEntry(t *testing.T) (*fleet, *process) {
	dir, err := plainBinaries()
	assert.NilError(t, err)
	f := newFleet(t.TempDir())
	t.Cleanup(f.stopAll)
	c, err := parseFleetConfig([]string{"vms=1", "engines=1", "services=1"})
	assert.NilError(t, err)
	assert.NilError(t, f.build(c))
	p := &process{
		name: "entry-vm1", args: []string{"fescue-entry", "--config", filepath.Join(f.dir, "entry-vm1.jsonc")},
		log: filepath.Join(f.dir, "entry-vm1.log"), binary: filepath.Join(dir, "fescue-entry"), env: []string{entryMemoryLimit},
	}
	f.processes[p.name] = p
	assert.NilError(t, p.start())
	limitDescriptors(t, p, entryDescriptors)
	publish := command(filepath.Join(dir, "fescuectl"), "publish", "--config", filepath.Join(f.dir, "ctl.jsonc"), "--first", "sheet.jsonc")
	publish.Dir = f.dir
	out, err := publish.CombinedOutput()
	assert.NilError(t, err, string(out))
	return f, p
}

// awaitEntry waits until a fescue-entry has answered a request and a question for its status, and greets peers.
func awaitEntry(t *testing.T, v *vm) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerTimeout}
	assert.NilError(t, poll("an answer of "+v.caller, func() (bool, error) { return askEntry(client, v) == http.StatusOK, nil }))
	assert.NilError(t, poll("the status of "+v.status, func() (bool, error) {
		resp, err := client.Get("http://" + v.status + "/status")
		if err != nil {
			return false, nil
		}
		return resp.StatusCode == http.StatusOK, resp.Body.Close()
	}))
	assert.NilError(t, poll("a session with "+v.peer, func() (bool, error) {
		session, err := openSession(v.peer)
		if err != nil {
			return false, nil
		}
		return true, session.Close()
	}))
}

// askEntry returns the status of the answer to a single request, zero for none.
func askEntry(client *http.Client, v *vm) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+v.caller+"/v1/services/trace/lookup", strings.NewReader("{}"))
	if err != nil {
		return 0
	}
	req.Header.Set("Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	req.Header.Set("Caller", "ordinary")
	req.Header.Set("Workspace", "ordinary")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (c *entryCase) run(t *testing.T) {
	f, p := startLimitedEntry(t)
	v := f.vms[0]
	awaitEntry(t, v)
	ctx, stop := context.WithTimeout(t.Context(), knownTimeout)
	defer stop()
	var most vmUsage
	var running sync.WaitGroup
	ports := []int{port(t, v.caller), port(t, v.peer), port(t, v.status)}
	running.Go(func() { measure(ctx, int(p.pid.Load()), ports, &most) })
	clients := crowd{connections: c.connections, first: c.first, again: c.again}
	clients.send(ctx, c.port(v), &running)
	if c.peers != nil {
		c.peers(ctx, c.port(v), &running)
	}
	var answers atomic.Int64
	running.Go(func() {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerTimeout}
		for ctx.Err() == nil {
			if askEntry(client, v) == http.StatusOK {
				answers.Add(1)
			}
			clock.Sleep(ctx, requestInterval)
		}
	})
	clock.Sleep(ctx, crowdTime)
	for answers.Load() == 0 && p.running() && clock.Sleep(ctx, samplePause) {
	}
	stop()
	running.Wait()
	t.Logf("at most %d KB, %d sockets; %d requests answered", most.memoryKB, most.sockets, answers.Load())
	assert.Check(t, most.memoryKB < entryMemoryMB<<10, "memory: %d KB", most.memoryKB)
	assert.Check(t, answers.Load() > 0, "no ordinary request was answered")
	assert.Assert(t, p.running(), "the process has ended:\n%s", endOfLog(p.log))
	awaitEntry(t, v)
}

// Guards against clients that take the memory or the descriptors of a fescue-entry at any of its ports, so that it ends
// or answers nobody else.
func TestCrowdsLeaveTheOwnInterface(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(entryCases)) {
		t.Run(name, func(t *testing.T) {
			c := entryCases[name]
			c.run(t)
		})
	}
}
