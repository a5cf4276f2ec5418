package simnet

import (
	"errors"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestCutsOfConnections(t *testing.T) {
	for name, tc := range map[string]struct {
		cut      Cut
		existing error // of a read on a connection from before the cut
		fresh    error // of a read on one from after it
	}{
		"hang":   {Hang, os.ErrDeadlineExceeded, os.ErrDeadlineExceeded},
		"reset":  {Reset, syscall.ECONNRESET, syscall.ECONNRESET},
		"refuse": {RefuseNew, nil, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, s, from, to := pair(t)
				from.n.SetCut(from, to, tc.cut)
				if !errors.Is(tc.existing, syscall.ECONNRESET) {
					write(t, s, "data")
				}
				assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
				_, err := c.Read(make([]byte, 8))
				assert.ErrorIs(t, err, tc.existing)

				fresh, err := from.DialContext(t.Context(), "tcp4", s.LocalAddr().String())
				assert.NilError(t, err)
				assert.NilError(t, fresh.SetReadDeadline(time.Now().Add(time.Second)))
				_, err = fresh.Read(make([]byte, 8))
				assert.ErrorIs(t, err, tc.fresh)
			})
		})
	}
}

func TestAHealedHangDeliversWhatItHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, s, from, to := pair(t)
		from.n.SetCut(from, to, Hang)
		write(t, s, "held")
		time.Sleep(time.Second)
		from.n.SetCut(from, to, NoCut)
		got, _ := read(t, c)
		assert.Equal(t, got, "held")
	})
}
