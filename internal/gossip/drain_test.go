package gossip

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

// slowGroup is a group whose joins take until they are released.
type slowGroup struct {
	joining chan struct{}
	release chan struct{}

	mu    sync.Mutex
	calls []string
}

func (g *slowGroup) record(call string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls = append(g.calls, call)
}

func (g *slowGroup) Join(context.Context, Node, time.Duration) (Assignment, error) {
	g.joining <- struct{}{}
	<-g.release
	g.record("joined")
	return Assignment{}, nil
}

func (g *slowGroup) Members(context.Context) ([]Node, error) { return nil, nil }

func (g *slowGroup) Leave(context.Context, Node) error {
	g.record("left")
	return nil
}

// Guards against a VM that stays listed as a member after it has drained: a renewal under way is
// executed after the VM has left the group.
func TestAVMLeavesTheGroupAfterItsLastRenewal(t *testing.T) {
	g := &slowGroup{joining: make(chan struct{}), release: make(chan struct{})}
	m := NewMembers(clock.Boot{}, Node{Incarnation: "a", Zone: "z", Caller: "127.0.0.1:1", Peer: "127.0.0.1:2"})
	r := NewRegistration(g, m, func(clock.Time, Assignment) {})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = r.Run(ctx) }()
	<-g.joining
	drained := make(chan struct{})
	go func() { defer close(drained); _ = r.Drain(ctx) }()
	for !m.Leaving() {
		time.Sleep(time.Millisecond)
	}
	close(g.release)
	<-drained
	cancel()
	<-done
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.Assert(t, slices.Equal(g.calls, []string{"joined", "left"}), "%v", g.calls)
}
