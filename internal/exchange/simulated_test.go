package exchange

import (
	"bufio"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/simnet"
)

// Guards against a simulated network on which connections are reused otherwise than on sockets: those that the
// endpoint has closed must not be, those that it keeps must.
func TestSimulatedConnectionsAreReusedAsSockets(t *testing.T) {
	for name, tc := range map[string]struct {
		perConn int
		dials   int64
	}{"kept": {perConn: 3, dials: 1}, "closed": {perConn: 1, dials: 3}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := simnet.New(simnet.Options{Latency: time.Millisecond})
				t.Cleanup(n.Close)
				ln, err := n.NewHost().Listen(0)
				assert.NilError(t, err)
				go answerSome(ln, tc.perConn)
				p := NewPool()
				p.Dialer = n.NewHost()
				for range 3 {
					body, err := do(t, p, ln.Addr().String(), get("/"))
					assert.NilError(t, err)
					assert.Equal(t, body, "ok")
					time.Sleep(2 * time.Millisecond) // until the endpoint's end arrives
				}
				assert.Equal(t, p.Stats().Dials, tc.dials)
			})
		})
	}
}

// answerSome answers a number of requests on each connection and closes it.
func answerSome(ln net.Listener, perConn int) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		e, br := &endpoint{}, bufio.NewReader(c)
		for range perConn {
			if e.read(br) == nil {
				break
			}
			answer(c, ok)
		}
		_ = c.Close()
	}
}
