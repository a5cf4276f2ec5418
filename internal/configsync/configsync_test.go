package configsync

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"fescuestand/internal/clock"
	"fescuestand/internal/era"
	"fescuestand/internal/keyedlog"
	"fescuestand/internal/network"
)

// emptyLog is a store without entries that counts the reads.
type emptyLog struct{ reads atomic.Int32 }

func (l *emptyLog) Newest(context.Context, string) (keyedlog.NewestPage, error) {
	return keyedlog.NewestPage{}, nil
}

func (l *emptyLog) Read(context.Context, era.Position, time.Duration) (keyedlog.Page, error) {
	l.reads.Add(1)
	return keyedlog.Page{}, nil
}

// testClock is a manual clock that a test may advance while pulls read it.
type testClock struct{ now atomic.Int64 }

// Now implements clock.Clock.
func (c *testClock) Now() clock.Time { return clock.Time(c.now.Load()) }

func (c *testClock) advance(d time.Duration) { c.now.Add(int64(d)) }

// vm is a VM with a version in force that receives reports of other VMs' versions.
type vm struct {
	clock   testClock
	version atomic.Uint64
	puller  *Puller
	store   *emptyLog
}

func newVM(t *testing.T) *vm {
	t.Helper()
	v := &vm{store: &emptyLog{}}
	v.clock.advance(time.Hour)
	f := keyedlog.New("config", v.store)
	f.ReadInterval = func() time.Duration { return time.Hour }
	f.Apply = func(e keyedlog.Entry) bool { v.version.Store(uint64(len(e.Value))); return true }
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	v.puller = NewPuller(network.Machine{}, &v.clock, v.version.Load, f)
	return v
}

// receive reports a peer's version to the VM, now and once more after the time after.
func (v *vm) receive(addr string, version uint64, after time.Duration) {
	v.puller.ReceiveVersion(addr, version)
	v.clock.advance(after)
	v.puller.ReceiveVersion(addr, version)
}

// idle reports whether no pull is in progress.
func (v *vm) idle() bool {
	v.puller.mu.Lock()
	defer v.puller.mu.Unlock()
	return !v.puller.pulling
}

// serve starts a server for h and returns its address.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func eventually(t *testing.T, ok func() bool, what string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("not seen: %s", what)
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(5*time.Second))
}

// Guards against a VM whose calls the store rejects, but not those of other VMs, keeping an old
// configuration: it would send requests of a route that operators moved to the old endpoints.
func TestAVMThatTheStoreTurnsAwayGetsTheConfigurationFromAPeer(t *testing.T) {
	handler := &Handler{}
	peer := serve(t, handler)
	v := newVM(t)
	for _, version := range []int{7, 9} {
		handler.Set(keyedlog.Entry{Key: "config", Value: make([]byte, version), Position: era.Position{Offset: int64(version)}})
		v.clock.advance(minPullInterval)
		v.receive(peer, uint64(version), pullDelay)
		eventually(t, func() bool { return v.version.Load() == uint64(version) && v.idle() }, "the configuration in force")
	}
	assert.Equal(t, v.store.reads.Load(), int32(0))
}

// Checks that a VM pulls from a peer only when the store's answer should have arrived, and not while
// another pull is in progress.
func TestPeersAreAskedOnceAndNotAtOnce(t *testing.T) {
	pulls := make(chan struct{}, 8)
	unblock := make(chan struct{})
	peer := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		pulls <- struct{}{}
		<-unblock
	}))
	t.Cleanup(func() { close(unblock) })
	v := newVM(t)
	v.receive(peer, 5, pullDelay/2)
	assert.Equal(t, len(pulls), 0)
	v.receive(peer, 5, pullDelay)
	v.receive(peer, 5, pullDelay)
	<-pulls
	assert.Equal(t, len(pulls), 0)
}

// Guards against a VM that stays behind when the peers with a newer configuration can't be reached
// over TCP and only their datagrams arrive: it must read the configuration from the store.
func TestTheStoreIsReadWhenNoPeerGivesTheConfiguration(t *testing.T) {
	v := newVM(t)
	empty := serve(t, &Handler{})
	v.receive(empty, 5, pullDelay)
	eventually(t, v.idle, "the end of the pull")
	v.clock.advance(storeReadDelay)
	v.puller.ReceiveVersion(empty, 5)
	eventually(t, func() bool { return v.store.reads.Load() == 1 }, "a read of the store")
}

func TestAVMWithTheNewestConfigurationDoesNotPull(t *testing.T) {
	v := newVM(t)
	v.version.Store(5)
	v.receive("127.0.0.1:1", 5, storeReadDelay)
	assert.Assert(t, v.idle())
	assert.Equal(t, v.store.reads.Load(), int32(0))
}

func TestOtherPathsAreNotFound(t *testing.T) {
	w := httptest.NewRecorder()
	s := &Handler{}
	s.Set(keyedlog.Entry{Key: "config", Value: []byte("x")})
	s.ServeHTTP(w, httptest.NewRequest("GET", "/other", nil))
	assert.Equal(t, w.Code, http.StatusNotFound)
}

func TestMalformedConfigurationAnswerIsAnError(t *testing.T) {
	_, err := decode(strings.NewReader("nothing packed"))
	assert.Assert(t, err != nil)
}

// Guards against an answer of a few MB that decompresses without end and fills the memory of the smallest VM.
func TestAnAnswerThatDecompressesWithoutEndIsAnError(t *testing.T) {
	const decompressedBytes, maxAllocations = 1 << 30, 72 << 20 // half of the memory of the smallest VM
	var answer bytes.Buffer
	z := gzip.NewWriter(&answer)
	part := make([]byte, 1<<20)
	for range decompressedBytes / len(part) {
		_, err := z.Write(part)
		assert.NilError(t, err)
	}
	assert.NilError(t, z.Close())
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := decode(&answer)
	runtime.ReadMemStats(&after)
	assert.Assert(t, err != nil)
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < maxAllocations, "%d bytes", after.TotalAlloc-before.TotalAlloc)
}

// Most VMs of the largest deployment have links of 10 Mbit/s: an answer with a configuration of 1,400
// routes must take less than 50 ms there.
func TestALargeConfigurationCompressesWell(t *testing.T) {
	const routes = 1400
	var b strings.Builder
	rng := rand.New(rand.NewPCG(1, 2))
	for range routes {
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"ficu95.example","pathPrefix":"/%07x/","kind":"streaming","timeoutMs":8000,`+
			`"targetLatencyMs":200,"priority":1,"service":"huvo11a","maxAttempts":1,"sticky":true,"resumable":false,"gapAimMs":200},`,
			rng.Uint32()>>4, rng.Uint32()>>4)
	}
	compressed, err := encode(&keyedlog.Entry{Key: "config", Value: []byte(b.String())})
	assert.NilError(t, err)
	t.Logf("%d bytes compressed to %d", b.Len(), len(compressed))
	const maxBytes = 10e6 / 8 * 0.05 // sent in 50 ms
	assert.Assert(t, len(compressed) < maxBytes)
}

// Guards against an answer without a configuration that counts as one.
func TestAnEmptyAnswerIsNoConfiguration(t *testing.T) {
	empty, err := encode(&keyedlog.Entry{})
	assert.NilError(t, err)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(empty) }))
	t.Cleanup(srv.Close)
	_, err = newVM(t).puller.get(strings.TrimPrefix(srv.URL, "http://"))
	assert.Assert(t, err != nil)
}
