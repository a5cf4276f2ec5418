package scenarios

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
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

// partition cuts some VMs off from all endpoints. All processes share one IP address, so that the
// connections of these VMs are told from those of others by the kernel's tables of sockets. A connection
// hangs until its owner is known.
type partition struct {
	cut relay.Cut

	mu       sync.Mutex
	isolated map[int]bool // by the port from which a connection comes; absent if its owner isn't known yet
	unknown  map[int]bool
}

func (p *partition) cutOf(remote net.Addr) relay.Cut {
	port := remote.(*net.TCPAddr).Port
	p.mu.Lock()
	defer p.mu.Unlock()
	isolated, known := p.isolated[port]
	switch {
	case !known:
		p.unknown[port] = true
		return relay.Hang
	case isolated:
		return p.cut
	}
	return relay.NoCut
}

// scanInterval is the time between two scans of the kernel's tables.
const scanInterval = 20 * time.Millisecond

// follow learns the owners of new connections until ctx ends.
func (p *partition) follow(ctx context.Context, vms []*soakVM) {
	for ctx.Err() == nil {
		p.scan(vms)
		time.Sleep(scanInterval)
	}
}

// scan finds out which of the unknown connections belong to the isolated VMs.
func (p *partition) scan(vms []*soakVM) {
	p.mu.Lock()
	unknown := p.unknown
	p.unknown = map[int]bool{}
	p.mu.Unlock()
	if len(unknown) == 0 {
		return
	}
	inodes := map[string]bool{}
	for _, v := range vms {
		addInodes(inodes, v.proc.pid.Load())
	}
	ports := localPorts(inodes)
	p.mu.Lock()
	defer p.mu.Unlock()
	for port := range unknown {
		p.isolated[port] = ports[port]
	}
}

// addInodes adds the inodes of a process's sockets.
func addInodes(inodes map[string]bool, pid int64) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	files, err := os.ReadDir(dir)
	if err != nil {
		return // the process has ended
	}
	for _, f := range files {
		target, err := os.Readlink(dir + "/" + f.Name())
		if inode, ok := strings.CutPrefix(target, "socket:["); err == nil && ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
}

// localPorts returns the local ports of the TCP sockets with these inodes.
func localPorts(inodes map[string]bool) map[int]bool {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	const localField, inodeField = 1, 9
	ports := map[int]bool{}
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line)
		if len(f) <= inodeField || !inodes[f[inodeField]] {
			continue
		}
		_, text, _ := strings.Cut(f[localField], ":")
		if port, err := strconv.ParseInt(text, 16, 32); err == nil {
			ports[int(port)] = true
		}
	}
	return ports
}

// cutOff cuts VMs off from all endpoints and returns a function that ends it.
func (s *soak) cutOff(vms []*soakVM, c relay.Cut) (heal func()) {
	p := &partition{cut: c, isolated: map[int]bool{}, unknown: map[int]bool{}}
	ctx, stop := context.WithCancel(s.ctx)
	s.wg.Go(func() { p.follow(ctx, vms) })
	set := func(cut func(net.Addr) relay.Cut) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, e := range s.endpoints {
			e.link.SetCut(cut)
		}
	}
	set(p.cutOf)
	return func() {
		stop()
		set(nil)
	}
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

// Guards against VMs that are partitioned from all endpoints and still take callers' requests, which
// other VMs could serve.
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
			ended := time.Now()
			time.Sleep(cutReactionTime)
			recovered := time.Now()
			time.Sleep(probeTime)
			stop()
			time.Sleep(callerTimeout)

			s.checkServedInPartition(tc.vms, began.Add(cutReactionTime), ended)
			s.checkServed("after the partition", s.vms, recovered, recovered.Add(probeTime))
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
