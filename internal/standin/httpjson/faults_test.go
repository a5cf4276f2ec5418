package httpjson

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/settings"
)

func TestFaultEndsAfterCountOrTime(t *testing.T) {
	s := NewFaults("slow")
	s.Set(Fault{Name: "slow", Count: 2, Client: "vm-1"})
	_, other := s.Consume("slow", "vm-2")
	assert.Assert(t, !other, "the fault is for another client")
	for _, want := range []bool{true, true, false} {
		_, on := s.Consume("slow", "vm-1")
		assert.Equal(t, on, want)
	}
	s.Set(Fault{Name: "slow", For: settings.Duration(time.Nanosecond)})
	time.Sleep(time.Millisecond)
	_, on := s.Consume("slow", "vm-1")
	assert.Assert(t, !on)
}
