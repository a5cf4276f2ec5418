package scenarios

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"fescuestand/internal/standin/relay"
)

const (
	// cutTime is how long the VMs of TestVMsThatReachNoEndpoint are cut off, and cutReactionTime the time
	// after which their callers must be served.
	cutTime         = 9 * time.Second
	cutReactionTime = 3 * time.Second
	// Callers enough that the others go on while some wait for answers that don't come.
	partitionCallers  = 40
	partitionInterval = 300 * time.Millisecond
)

// partition cuts some VMs off from all endpoints. All processes share one IP address, so that connections
// are told apart by the process that owns the connecting socket.
type partition struct {
	t        *testing.T
	cut      relay.Cut
	isolated []*soakVM
	initial  map[uint64]bool // sockets open when the partition began, true for those of isolated VMs
	cuts     sync.Map        // of the connections that relays have accepted
}

func newPartition(t *testing.T, all, isolated []*soakVM, cut relay.Cut) *partition {
	p := &partition{t: t, cut: cut, isolated: isolated, initial: map[uint64]bool{}}
	for _, v := range all {
		for _, inode := range socketsOf(v.proc.pid.Load()) {
			p.initial[inode] = slices.Contains(isolated, v)
		}
	}
	return p
}

func (p *partition) cutOf(accepted net.Conn) relay.Cut {
	if c, ok := p.cuts.Load(accepted); ok {
		return c.(relay.Cut)
	}
	c, _ := p.cuts.LoadOrStore(accepted, p.decide(accepted))
	return c.(relay.Cut)
}

// decide returns what happens to a connection. One that its owner has closed is reset, so that nothing of
// an isolated VM is forwarded.
func (p *partition) decide(accepted net.Conn) relay.Cut {
	inode := p.peerInode(accepted)
	isolated, known := p.initial[inode]
	switch {
	case inode == 0:
		return relay.Reset
	case isolated, !known && p.isOfIsolated(inode):
		return p.cut
	case !known && p.peerInode(accepted) == 0:
		return relay.Reset
	}
	return relay.NoCut
}

func (p *partition) isOfIsolated(inode uint64) bool {
	return slices.ContainsFunc(p.isolated, func(v *soakVM) bool {
		return slices.Contains(socketsOf(v.proc.pid.Load()), inode)
	})
}

func (p *partition) peerInode(accepted net.Conn) uint64 {
	inode, err := peerInode(accepted)
	if err != nil {
		p.t.Error(err)
	}
	return inode
}

// cutOff cuts VMs off from all endpoints and returns a function that ends it.
func (s *soak) cutOff(vms []*soakVM, c relay.Cut) (heal func()) {
	set := func(cut func(net.Conn) relay.Cut) {
		s.mu.Lock()
		endpoints := slices.Collect(maps.Values(s.endpoints))
		s.mu.Unlock()
		for _, e := range endpoints {
			e.link.SetCut(cut)
		}
	}
	set(newPartition(s.t, s.vms, vms, c).cutOf)
	return func() { set(nil) }
}

// servedShare returns how many of the requests to the given VMs that were sent in a time span were served.
func (s *soak) servedShare(vms []*soakVM, from, to time.Time) (served, sent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.answers {
		a := &s.answers[i]
		for _, v := range vms {
			if a.vm == v.front && a.sent.After(from) && a.sent.Before(to) {
				sent++
				if a.complete {
					served++
				}
			}
		}
	}
	return served, sent
}

// Guards against requests that are cut off, refused after they ran, or run twice while VMs are partitioned from all
// endpoints. TestWorldOfVMsThatReachNoEndpoint judges in simulated time how many of them are served.
func TestVMsThatReachNoEndpoint(t *testing.T) {
	for _, tc := range []struct {
		name string
		cut  relay.Cut
		vms  int
	}{
		{"hang1", relay.Hang, 1}, {"hang3", relay.Hang, 3}, {"reset2", relay.Reset, 2}, {"refused2", relay.RefuseNew, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := newSoak(t, 2)
			s.awaitServing()
			ctx, stop := context.WithCancel(s.ctx)
			s.manyCallers(ctx, partitionCallers, partitionInterval)
			time.Sleep(warmUpTime)
			began := time.Now()
			heal := s.cutOff(s.vms[:tc.vms], tc.cut)
			time.Sleep(cutTime)
			heal()
			time.Sleep(cutReactionTime + probeTime)
			stop()
			time.Sleep(callerTimeout)

			if served, sent := s.servedShare(s.vms, began, time.Now()); served == 0 {
				s.addViolation("none of %d requests was served", sent)
			}
			s.mu.Lock()
			s.checkAnswers()
			s.checkRuns()
			s.checkOrders()
			s.mu.Unlock()
			s.checkQuarantines()
			s.checkProcesses()
			s.reportViolations()
		})
	}
}

// checkServedInPartition checks what callers got in a time span at the first VMs, which were cut off, and at
// the others.
func (s *soak) checkServedInPartition(isolated int, from, to time.Time) {
	served, sent := s.servedShare(s.vms[:isolated], from, to)
	servedElsewhere, sentElsewhere := s.servedShare(s.vms[isolated:], from, to)
	failed, all := sent+sentElsewhere-served-servedElsewhere, sent+sentElsewhere
	s.t.Logf("served %d of %d at the isolated VMs, %d of %d at the others", served, sent, servedElsewhere, sentElsewhere)
	if 3*served*sentElsewhere < 2*sent*servedElsewhere && failed > 10+all/50 {
		s.addViolation("%d of %d requests failed during the partition", failed, all)
	}
	s.checkServed("at the other VMs", s.vms[isolated:], from, to)
}

// checkServed checks that enough of the requests to the given VMs were served.
func (s *soak) checkServed(when string, vms []*soakVM, from, to time.Time) {
	served, sent := s.servedShare(vms, from, to)
	if sent == 0 || float64(served) < minServedShare*float64(sent) {
		s.addViolation("%d of %d requests were served %s", served, sent, when)
	}
}
