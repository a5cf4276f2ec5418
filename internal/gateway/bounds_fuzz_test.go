package gateway

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/exchange"
	"fescuestand/internal/policy/bytebudget"
)

// FuzzBodies guards against bodies and events of any bytes, in parts of any size, that are taken for whole though a
// bound cut them, or that leave bytes in the budget.
func FuzzBodies(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2", uint16(3), uint16(900), uint16(4000), int64(-1))
	f.Add(strings.Repeat("a", 5000), uint16(5000), uint16(4999), uint16(65000), int64(5000))
	f.Add("\n\n\n\n", uint16(1), uint16(4), uint16(1), int64(0))
	f.Fuzz(func(t *testing.T, text string, step, limit, memory uint16, length int64) {
		budget := bytebudget.New()
		budget.SetMemory(int64(memory) + 1)
		h := &hold{budget: budget}
		part := max(int(step), 1)
		body, err := readWhole(&stepReader{text: text, step: part}, length, int64(limit), h)
		if err == nil {
			assert.Assert(t, len(text) <= int(limit) && string(body.bytes()) == text)
			var out bytes.Buffer
			n, err := body.WriteTo(&out)
			assert.NilError(t, err)
			assert.Assert(t, n == body.size && out.String() == text)
		} else {
			assert.Assert(t, errors.As(err, new(*exchange.BoundError)))
			assert.Equal(t, h.bytes.Load(), int64(0))
		}
		h.end()
		assert.Equal(t, budget.Snapshot().Used, int64(0))
		assert.Assert(t, budget.Snapshot().Peak <= budget.Snapshot().Capacity)

		rd := newEventReader(&stepReader{text: text, step: part})
		rd.held = h
		var got []byte
		for events, err := rd.next(); err == nil; events, err = rd.next() {
			assert.Assert(t, bytes.HasSuffix(events, eventEnd))
			got = append(got, events...)
		}
		assert.Assert(t, strings.HasPrefix(text, string(got)))
		rd.release()
		assert.Equal(t, budget.Snapshot().Used, int64(0))
		if budget.Snapshot().Denied == 0 && len(text) < maxEventBytes {
			assert.Assert(t, !strings.Contains(text[len(got):], "\n\n"))
		}
	})
}
