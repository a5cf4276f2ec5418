package scenarios

import (
	"context"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against VMs that haven't read the endpoints' entries since they started and still take callers'
// requests, which other VMs could serve.
func TestVMsThatKnowNoEndpoint(t *testing.T) {
	s := newSoak(t, 2)
	s.awaitServing()
	ctx, stop := context.WithCancel(s.ctx)
	s.manyCallers(ctx, partitionCallers, partitionInterval)
	time.Sleep(warmUpTime)
	const restarted = 2
	for _, v := range s.vms[:restarted] {
		v.proc.kill()
		v.link.Block(true)
	}
	time.Sleep(restartDelay)
	began := time.Now()
	for _, v := range s.vms[:restarted] {
		assert.NilError(t, v.proc.start())
	}
	time.Sleep(cutTime)
	for _, v := range s.vms[:restarted] {
		v.link.Block(false)
	}
	ended := time.Now()
	time.Sleep(cutReactionTime)
	recovered := time.Now()
	time.Sleep(probeTime)
	stop()
	time.Sleep(callerTimeout)

	s.checkServedInPartition(restarted, began.Add(cutReactionTime), ended)
	s.checkServed("after the store was reached", s.vms, recovered, recovered.Add(probeTime))
	s.mu.Lock()
	s.checkAnswers()
	s.checkRuns()
	s.checkOrders()
	s.mu.Unlock()
	s.checkQuarantines()
	s.checkProcesses()
	s.reportViolations()
}

// Guards against a VM that a SIGHUP ends while it starts or stops: the platform may send one after each change of the
// settings.
func TestVMsOutliveSIGHUPWhileTheyStartAndStop(t *testing.T) {
	s := newSoak(t, 2)
	s.awaitServing()
	v := s.vms[0]
	for range hangUpStarts {
		v.proc.kill()
		assert.NilError(t, os.Truncate(v.proc.log, 0))
		assert.NilError(t, v.proc.start())
		s.awaitLine(v, "message=started")
		s.hangUpUntil(v, time.Now().Add(hangUpTime))
		assert.Assert(t, v.proc.running(), "SIGHUP ended a VM that started:\n%s", endOfLog(v.proc.log))
	}
	assert.NilError(t, v.proc.signal(syscall.SIGTERM))
	s.hangUpUntil(v, time.Now().Add(exitTimeout))
	status, err := v.proc.await()
	assert.NilError(t, err)
	assert.Equal(t, status, 0, endOfLog(v.proc.log))
}

const (
	// hangUpStarts is the number of starts of a VM, and hangUpTime the time after each in which it gets SIGHUP.
	hangUpStarts = 5
	hangUpTime   = 300 * time.Millisecond
)

// awaitLine waits until a VM has logged a line with the given text.
func (s *soak) awaitLine(v *soakVM, text string) {
	for end := time.Now().Add(exitTimeout); ; time.Sleep(time.Millisecond) {
		b, err := os.ReadFile(v.proc.log)
		assert.NilError(s.t, err)
		if strings.Contains(string(b), text) {
			return
		}
		assert.Assert(s.t, v.proc.running() && time.Now().Before(end), "no %q in the log:\n%s", text, b)
	}
}

// hangUpUntil sends SIGHUP to a VM until its process has ended, or until the given time.
func (s *soak) hangUpUntil(v *soakVM, until time.Time) {
	for v.proc.running() && time.Now().Before(until) {
		_ = v.proc.signal(syscall.SIGHUP) // fails only if the process has ended meanwhile
		time.Sleep(time.Millisecond)
	}
}
