package exchange

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/simnet"
)

// unframedEndpoint answers each request with neither a length nor chunks and ends its answers when they have taken lasts.
// It closes connections that have been idle for the time given.
type unframedEndpoint struct {
	lasts, idle time.Duration
}

const unframed = "HTTP/1.1 200 OK\r\n\r\npart"

func (e *unframedEndpoint) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			_ = c.SetReadDeadline(time.Now().Add(e.idle))
			if (&endpoint{}).read(bufio.NewReader(c)) == nil {
				return
			}
			answer(c, unframed)
			time.Sleep(e.lasts)
		}()
	}
}

// simulatedPool returns a pool and an endpoint's host on a simulated network.
func simulatedPool(t *testing.T) (*Pool, *simnet.Host) {
	t.Helper()
	n := simnet.New(simnet.Options{Latency: time.Millisecond})
	t.Cleanup(func() {
		n.Close()
		time.Sleep(10 * time.Second) // until the endpoint's answers have ended
	})
	p := NewPool()
	p.Dialer = n.NewHost()
	t.Cleanup(func() { _ = p.Close() })
	return p, n.NewHost()
}

// Guards against a part of an answer that is taken for a whole one, as its process has ended and another one listens at the
// address at once; and against a whole one that is lost beside an idle timeout.
func TestEndOfAProcessShowsAtTheEndOfAnAnswer(t *testing.T) {
	for _, lasts := range []time.Duration{10 * time.Millisecond, 400 * time.Millisecond, 700 * time.Millisecond, 6 * time.Second} {
		for _, idle := range []time.Duration{700 * time.Millisecond, 3 * time.Second, time.Minute} {
			for name, want := range map[string]Life{"lives": Alive, "restarts": Ended} {
				t.Run(fmt.Sprint(lasts, " ", idle, " ", name), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						p, host := simulatedPool(t)
						ln, err := host.Listen(0)
						assert.NilError(t, err)
						go (&unframedEndpoint{lasts, idle}).serve(ln)
						resp, err := p.Do(t.Context(), ln.Addr().String(), &Request{Method: "GET", Target: "/", Host: "h", VerifyEnd: true})
						assert.NilError(t, err)
						defer resp.Close()
						if want == Ended {
							time.Sleep(lasts - 5*time.Millisecond)
							host.CloseAll()
							ln, err := host.Listen(uint16(ln.Addr().(*net.TCPAddr).Port))
							assert.NilError(t, err)
							go (&unframedEndpoint{0, idle}).serve(ln)
						}
						_, err = io.ReadAll(resp.Body)
						assert.NilError(t, err)
						assert.Equal(t, p.CheckProcess(t.Context(), ln.Addr().String()), want)
					})
				})
			}
		}
	}
}

// Guards against a whole answer that is lost, as its endpoint resets connections beyond those that it has.
func TestResetOfAFurtherConnectionIsNoEndOfTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, host := simulatedPool(t)
		ln, err := host.Listen(0)
		assert.NilError(t, err)
		go func() {
			for n := 0; ; n++ {
				c, err := ln.Accept()
				switch {
				case err != nil:
					return
				case n > 0:
					c.(*simnet.Conn).Reset()
					continue
				}
				go func() {
					(&endpoint{}).read(bufio.NewReader(c))
					answer(c, unframed)
					time.Sleep(20 * time.Millisecond)
					_ = c.Close()
				}()
			}
		}()
		resp, err := p.Do(t.Context(), ln.Addr().String(), &Request{Method: "GET", Target: "/", Host: "h", VerifyEnd: true})
		assert.NilError(t, err)
		defer resp.Close()
		_, err = io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, p.CheckProcess(t.Context(), ln.Addr().String()), Unknown)
	})
}

// Guards against connections in proportion to the answers without a length, which endpoints have bounds for, and against
// witnesses that are kept once no answer needs them.
func TestAnswersShareTheirWitnesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, host := simulatedPool(t)
		ln, err := host.Listen(0)
		assert.NilError(t, err)
		go (&unframedEndpoint{2 * time.Second, time.Minute}).serve(ln)
		addr := ln.Addr().String()
		const answers = 20
		ended := make(chan error)
		for range answers {
			go func() {
				resp, err := p.Do(t.Context(), addr, &Request{Method: "GET", Target: "/", Host: "h", VerifyEnd: true})
				if err == nil {
					_, err = io.ReadAll(resp.Body)
					resp.Close()
				}
				ended <- err
			}()
		}
		for range answers {
			assert.NilError(t, <-ended)
		}
		assert.Equal(t, p.Stats().Dials, int64(answers+maxWitnesses))
		_, err = do(t, p, addr, get("/"))
		assert.NilError(t, err)
		assert.Equal(t, p.Stats().Dials, int64(answers+maxWitnesses))
	})
}

// Guards against a witness that carries a request, and then ends with its answer.
func TestWitnessesCarryNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, host := simulatedPool(t)
		ln, err := host.Listen(0)
		assert.NilError(t, err)
		go (&unframedEndpoint{2 * time.Second, time.Minute}).serve(ln)
		addr := ln.Addr().String()
		resp, err := p.Do(t.Context(), addr, &Request{Method: "GET", Target: "/", Host: "h", VerifyEnd: true})
		assert.NilError(t, err)
		defer resp.Close()
		time.Sleep(time.Second)
		other, err := p.Do(t.Context(), addr, get("/"))
		assert.NilError(t, err)
		defer other.Close()
		assert.Equal(t, idleCount(p, addr), maxWitnesses)
		assert.Equal(t, p.Stats().Reused, int64(0))
	})
}

// Guards against a part of an answer that is taken for a whole one: the entry of its endpoint was removed before the process
// ended, and another one listens at the address at once.
func TestEndOfAProcessWithoutAnEntryShowsAtTheEndOfAnAnswer(t *testing.T) {
	for name, want := range map[string]Life{"lives": Alive, "restarts": Ended} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, host := simulatedPool(t)
				ln, err := host.Listen(0)
				assert.NilError(t, err)
				const lasts, sweepInterval = 2 * time.Second, 100 * time.Millisecond
				go (&unframedEndpoint{lasts, time.Minute}).serve(ln)
				addr := ln.Addr().String()
				resp, err := p.Do(t.Context(), addr, &Request{Method: "GET", Target: "/", Host: "h", VerifyEnd: true})
				assert.NilError(t, err)
				defer resp.Close()
				for range lasts/sweepInterval - 1 {
					time.Sleep(sweepInterval)
					p.Sweep(nil)
				}
				if want == Ended {
					host.CloseAll()
					ln, err := host.Listen(uint16(ln.Addr().(*net.TCPAddr).Port))
					assert.NilError(t, err)
					go (&unframedEndpoint{0, time.Minute}).serve(ln)
				}
				_, err = io.ReadAll(resp.Body)
				assert.NilError(t, err)
				p.Sweep(nil)
				assert.Equal(t, p.CheckProcess(t.Context(), addr), want)
				assert.Assert(t, p.Stats().Dials <= 1+maxWitnesses, "%d connections", p.Stats().Dials)
			})
		})
	}
}
