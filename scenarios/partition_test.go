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

// socketOwners tells which VM's process has connected to a relay. All processes share one IP address, so
// that the kernel's tables of sockets are read.
type socketOwners struct {
	vms []*soakVM

	mu    sync.Mutex
	known map[string]*soakVM // by the connecting address
}

func (o *socketOwners) owner(remote net.Addr) *soakVM {
	o.mu.Lock()
	defer o.mu.Unlock()
	if v, ok := o.known[remote.String()]; ok {
		return v
	}
	v := o.find(remote)
	o.known[remote.String()] = v
	return v
}

func (o *socketOwners) find(remote net.Addr) *soakVM {
	inode := socketInode(remote.(*net.TCPAddr).Port)
	if inode == "" {
		return nil
	}
	want := "socket:[" + inode + "]"
	for _, v := range o.vms {
		dir := fmt.Sprintf("/proc/%d/fd", v.proc.cmd.Process.Pid)
		files, err := os.ReadDir(dir)
		if err != nil {
			return nil
		}
		for _, f := range files {
			if target, err := os.Readlink(dir + "/" + f.Name()); err == nil && target == want {
				return v
			}
		}
	}
	return nil
}

// socketInode returns the inode of the loopback socket that is connected from a local port.
func socketInode(port int) string {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	const localField, inodeField = 1, 9
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line)
		if len(f) > inodeField && strings.HasSuffix(f[localField], fmt.Sprintf(":%04X", port)) && f[inodeField] != "0" {
			if _, err := strconv.Atoi(f[inodeField]); err == nil {
				return f[inodeField]
			}
		}
	}
	return ""
}

// cutOff cuts VMs off from all endpoints and returns a function that ends it.
func (s *soak) cutOff(vms []*soakVM, c relay.Cut) (heal func()) {
	owners := &socketOwners{vms: s.vms, known: map[string]*soakVM{}}
	cut := func(remote net.Addr) relay.Cut {
		v := owners.owner(remote)
		for _, other := range vms {
			if v == other {
				return c
			}
		}
		return relay.NoCut
	}
	set := func(cut func(net.Addr) relay.Cut) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, e := range s.endpoints {
			e.link.SetCut(cut)
		}
	}
	set(cut)
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

// Guards against VMs that are partitioned from all endpoints and still take callers' requests, which
// other VMs could serve.
func TestVMsThatReachNoEndpoint(t *testing.T) {
	for _, tc := range []struct {
		name string
		cut  relay.Cut
		vms  int
	}{
		{"hang", relay.Hang, 1}, {"hang", relay.Hang, 3}, {"reset", relay.Reset, 2}, {"refused", relay.RefuseNew, 2},
	} {
		n, c := tc.vms, tc.cut
		{
			t.Run(fmt.Sprintf("%s%d", tc.name, n), func(t *testing.T) {
				t.Parallel()
				s := newSoak(t, 2)
				s.awaitServing()
				ctx, stop := context.WithCancel(s.ctx)
				s.manyCallers(ctx, partitionCallers, partitionInterval)
				time.Sleep(warmUpTime)
				isolated, others := s.vms[:n], s.vms[n:]
				began := time.Now()
				heal := s.cutOff(isolated, c)
				time.Sleep(cutTime)
				heal()
				ended := time.Now()
				time.Sleep(cutReactionTime)
				recovered := time.Now()
				time.Sleep(probeTime)
				stop()
				time.Sleep(callerTimeout)

				from := began.Add(cutReactionTime)
				served, sent := s.servedShare(isolated, from, ended)
				servedElsewhere, sentElsewhere := s.servedShare(others, from, ended)
				failed, all := sent+sentElsewhere-served-servedElsewhere, sent+sentElsewhere
				t.Logf("served %d of %d at the isolated VMs, %d of %d at the others", served, sent, servedElsewhere, sentElsewhere)
				if 3*served*sentElsewhere < 2*sent*servedElsewhere && failed > 10+all/50 {
					t.Errorf("%d of %d requests failed", failed, all)
				}
				if sentElsewhere == 0 || float64(servedElsewhere) < minServedShare*float64(sentElsewhere) {
					t.Errorf("%d of %d requests were served at the other VMs", servedElsewhere, sentElsewhere)
				}
				served, sent = s.servedShare(s.vms, recovered, recovered.Add(probeTime))
				if sent == 0 || float64(served) < minServedShare*float64(sent) {
					t.Errorf("%d of %d requests were served after the partition", served, sent)
				}
				s.checkObservations()
				s.checkProcesses()
				for _, v := range s.violations {
					if !strings.Contains(v, "succeeded after the recovery") {
						t.Error(v)
					}
				}
				if t.Failed() {
					s.keepLogs()
				}
			})
		}
	}
}
