package configsync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"fescuestand/internal/clock"
	"fescuestand/internal/keyedlog"
)

// awayLog is a store that counts the reads that it turns away.
type awayLog struct{ reads atomic.Int32 }

func (l *awayLog) Newest(context.Context) ([]keyedlog.Entry, int64, error) { return nil, 0, nil }

func (l *awayLog) Read(context.Context, int64, time.Duration) ([]keyedlog.Entry, int64, error) {
	l.reads.Add(1)
	return nil, 0, nil
}

// vm is one that serves by a version and hears of others.
type vm struct {
	clock   *clock.Manual
	version atomic.Uint64
	puller  *Puller
	store   *awayLog
}

func newVM(t *testing.T) *vm {
	t.Helper()
	v := &vm{clock: &clock.Manual{T: clock.Time(time.Hour)}, store: &awayLog{}}
	f := keyedlog.New("config", v.store)
	f.ReadInterval = func() time.Duration { return time.Hour }
	f.Apply = func(e keyedlog.Entry) { v.version.Store(uint64(len(e.Value))) }
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	v.puller = NewPuller(v.clock, v.version.Load, f)
	return v
}

// hear gives the VM a peer's version, now and after a while.
func (v *vm) hear(addr string, version uint64, after time.Duration) {
	v.puller.Heard(addr, version)
	v.clock.T = v.clock.T.Add(after)
	v.puller.Heard(addr, version)
}

func (v *vm) settled() bool {
	v.puller.mu.Lock()
	defer v.puller.mu.Unlock()
	return !v.puller.busy
}

func sharing(t *testing.T, h http.Handler) string {
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

// The store turns a VM away and serves the others. A route that operators moved
// would be served by the old endpoints there until it is let in again.
func TestAVMThatTheStoreTurnsAwayGetsTheConfigurationFromAPeer(t *testing.T) {
	share := &Share{}
	peer := sharing(t, share)
	v := newVM(t)
	for _, version := range []int{7, 9} {
		share.Set(keyedlog.Entry{Key: "config", Value: make([]byte, version), Offset: int64(version)})
		v.clock.T = v.clock.T.Add(pullPause)
		v.hear(peer, uint64(version), pullAfter)
		eventually(t, func() bool { return v.version.Load() == uint64(version) && v.settled() }, "the configuration in force")
	}
	assert.Equal(t, v.store.reads.Load(), int32(0))
}

// A configuration is asked of a peer only when the store's answer should have
// come, and not while another pull is under way.
func TestPeersAreAskedOnceAndNotAtOnce(t *testing.T) {
	asked := make(chan struct{}, 8)
	hold := make(chan struct{})
	peer := sharing(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		asked <- struct{}{}
		<-hold
	}))
	t.Cleanup(func() { close(hold) })
	v := newVM(t)
	v.hear(peer, 5, pullAfter/2)
	assert.Equal(t, len(asked), 0)
	v.hear(peer, 5, pullAfter)
	v.hear(peer, 5, pullAfter)
	<-asked
	assert.Equal(t, len(asked), 0)
}

// The peers that have a newer configuration can't be reached over TCP, only
// their datagrams arrive. It is then read from the store.
func TestTheStoreIsReadWhenNoPeerGivesTheConfiguration(t *testing.T) {
	v := newVM(t)
	empty := sharing(t, &Share{})
	v.hear(empty, 5, pullAfter)
	eventually(t, v.settled, "the end of the pull")
	v.clock.T = v.clock.T.Add(storeAfter)
	v.puller.Heard(empty, 5)
	eventually(t, func() bool { return v.store.reads.Load() == 1 }, "a read of the store")
}

func TestAVMWithTheNewestConfigurationAsksNobody(t *testing.T) {
	v := newVM(t)
	v.version.Store(5)
	v.hear("127.0.0.1:1", 5, storeAfter)
	assert.Assert(t, v.settled())
	assert.Equal(t, v.store.reads.Load(), int32(0))
}

func TestOtherPathsAreNotFound(t *testing.T) {
	w := httptest.NewRecorder()
	s := &Share{}
	s.Set(keyedlog.Entry{Key: "config", Value: []byte("x")})
	s.ServeHTTP(w, httptest.NewRequest("GET", "/other", nil))
	assert.Equal(t, w.Code, http.StatusNotFound)
}

func TestAnAnswerThatIsNoConfigurationIsAnError(t *testing.T) {
	_, err := unpack(strings.NewReader("nothing packed"))
	assert.Assert(t, err != nil)
}

// A configuration of 1,400 routes must fit the links of 10 Mbit/s that most VMs of
// the largest deployment have: its answer is to take less than 50 ms.
func TestALargeConfigurationIsPackedSmall(t *testing.T) {
	const routes = 1400
	var b strings.Builder
	rng := rand.New(rand.NewPCG(1, 2))
	for range routes {
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"ficu95.example","pathPrefix":"/%07x/","kind":"streaming","timeoutMs":8000,`+
			`"targetLatencyMs":200,"priority":1,"service":"huvo11a","maxAttempts":1,"sticky":true,"resumable":false,"gapAimMs":200},`,
			rng.Uint32()>>4, rng.Uint32()>>4)
	}
	packed, err := pack(&keyedlog.Entry{Key: "config", Value: []byte(b.String())})
	assert.NilError(t, err)
	t.Logf("%d bytes packed to %d", b.Len(), len(packed))
	const most = 10e6 / 8 * 0.05 // bytes in 50 ms
	assert.Assert(t, len(packed) < most)
}
