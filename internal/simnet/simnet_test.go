package simnet

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const testLatency = 10 * time.Millisecond

// pair returns the two ends of a connection and its hosts.
func pair(t *testing.T) (caller, server *Conn, from, to *Host) {
	t.Helper()
	n := New(Options{Latency: testLatency})
	t.Cleanup(n.Close)
	from, to = n.NewHost(), n.NewHost()
	ln, err := to.Listen(80)
	assert.NilError(t, err)
	c, err := from.DialContext(t.Context(), "tcp4", ln.Addr().String())
	assert.NilError(t, err)
	s, err := ln.Accept()
	assert.NilError(t, err)
	return c.(*Conn), s.(*Conn), from, to
}

// bubble runs a test with a connection.
func bubble(t *testing.T, f func(t *testing.T, caller, server *Conn)) {
	synctest.Test(t, func(t *testing.T) {
		c, s, _, _ := pair(t)
		f(t, c, s)
	})
}

func write(t *testing.T, c *Conn, text string) {
	t.Helper()
	n, err := io.WriteString(c, text)
	assert.NilError(t, err)
	assert.Equal(t, n, len(text))
}

// read reads what arrives next and returns it and the time it took.
func read(t *testing.T, c *Conn) (string, time.Duration) {
	t.Helper()
	start, b := time.Now(), make([]byte, 64)
	n, err := c.Read(b)
	assert.NilError(t, err)
	return string(b[:n]), time.Since(start)
}

// readFails returns the error of a read that gives no data.
func readFails(t *testing.T, c *Conn) error {
	t.Helper()
	n, err := c.Read(make([]byte, 64))
	assert.Equal(t, n, 0)
	return err
}

func TestDataArrivesAfterTheLatency(t *testing.T) {
	bubble(t, func(t *testing.T, c, s *Conn) {
		write(t, c, "one")
		write(t, c, "two")
		got, took := read(t, s)
		assert.Equal(t, got, "one")
		assert.Equal(t, took, testLatency)
		got, took = read(t, s)
		assert.Equal(t, got, "two")
		assert.Equal(t, took, segmentGap)
		write(t, s, "answer")
		got, took = read(t, c)
		assert.Equal(t, got, "answer")
		assert.Equal(t, took, testLatency)
	})
}

func TestDialTakesARoundTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		c, s, _, _ := pair(t)
		assert.Equal(t, time.Since(start), 2*testLatency)
		assert.Equal(t, c.RemoteAddr().String(), s.LocalAddr().String())
		assert.Equal(t, s.RemoteAddr().String(), c.LocalAddr().String())
	})
}

func TestRefusedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(Options{Latency: testLatency})
		defer n.Close()
		from, to := n.NewHost(), n.NewHost()
		ln, err := to.Listen(0)
		assert.NilError(t, err)
		address := ln.Addr().String()
		assert.NilError(t, ln.Close())
		_, err = ln.Accept()
		assert.Assert(t, errors.Is(err, net.ErrClosed), "%v", err)
		start := time.Now()
		_, err = from.DialContext(t.Context(), "tcp4", address)
		assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
		assert.Equal(t, time.Since(start), 2*testLatency)
	})
}

func TestPortInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, _, to := pair(t)
		_, err := to.Listen(80)
		assert.Assert(t, errors.Is(err, syscall.EADDRINUSE), "%v", err)
	})
}

func TestConnectionsThatWereNotAcceptedAreReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(Options{Latency: testLatency})
		defer n.Close()
		from, to := n.NewHost(), n.NewHost()
		ln, err := to.Listen(0)
		assert.NilError(t, err)
		c, err := from.DialContext(t.Context(), "tcp4", ln.Addr().String())
		assert.NilError(t, err)
		assert.NilError(t, ln.Close())
		assert.Assert(t, errors.Is(readFails(t, c.(*Conn)), syscall.ECONNRESET))
	})
}

func TestDialToUnknownHostWaitsForItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, from, _ := pair(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		start := time.Now()
		_, err := from.DialContext(ctx, "tcp4", "10.9.9.9:80")
		assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
		assert.Equal(t, time.Since(start), time.Minute)
	})
}

func TestReadDeadline(t *testing.T) {
	bubble(t, func(t *testing.T, c, s *Conn) {
		start := time.Now()
		assert.NilError(t, s.SetReadDeadline(start.Add(time.Second)))
		err := readFails(t, s)
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
		var timeout net.Error
		assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout())
		assert.Equal(t, time.Since(start), time.Second)

		write(t, c, "late")
		time.Sleep(time.Second)
		assert.Assert(t, errors.Is(readFails(t, s), os.ErrDeadlineExceeded))
		assert.NilError(t, s.SetReadDeadline(time.Time{}))
		got, _ := read(t, s)
		assert.Equal(t, got, "late")
	})
}

func TestDeadlineEndsAReadThatWaits(t *testing.T) {
	bubble(t, func(t *testing.T, _, s *Conn) {
		time.AfterFunc(time.Second, func() { assert.Check(t, s.SetDeadline(time.Unix(1, 0)) == nil) })
		start := time.Now()
		assert.Assert(t, errors.Is(readFails(t, s), os.ErrDeadlineExceeded))
		assert.Equal(t, time.Since(start), time.Second)
		_, err := s.Write([]byte("x"))
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	})
}

func TestWriteWaitsForTheReader(t *testing.T) {
	bubble(t, func(t *testing.T, c, s *Conn) {
		sent := bytes.Repeat([]byte("0123456789abcdef"), 2*windowBytes/16)
		assert.NilError(t, c.SetWriteDeadline(time.Now().Add(time.Second)))
		n, err := c.Write(sent)
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
		assert.Equal(t, n, windowBytes)

		assert.NilError(t, c.SetWriteDeadline(time.Time{}))
		go func() {
			_, err := c.Write(sent[n:])
			assert.Check(t, err == nil, "%v", err)
			assert.Check(t, c.CloseWrite() == nil)
		}()
		got, err := io.ReadAll(s)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, sent))
	})
}

func TestHalfClosedConnectionCarriesTheAnswer(t *testing.T) {
	bubble(t, func(t *testing.T, c, s *Conn) {
		write(t, c, "question")
		assert.NilError(t, c.CloseWrite())
		got, err := io.ReadAll(s)
		assert.NilError(t, err)
		assert.Equal(t, string(got), "question")
		_, err = c.Write([]byte("more"))
		assert.Assert(t, errors.Is(err, syscall.EPIPE), "%v", err)
		time.Sleep(time.Hour)
		write(t, s, "answer")
		answer, _ := read(t, c)
		assert.Equal(t, answer, "answer")
		assert.NilError(t, s.Close())
		assert.Assert(t, errors.Is(readFails(t, c), io.EOF))
	})
}

func TestClose(t *testing.T) {
	bubble(t, func(t *testing.T, c, s *Conn) {
		time.AfterFunc(time.Second, func() { assert.Check(t, s.Close() == nil) })
		assert.Assert(t, errors.Is(readFails(t, s), net.ErrClosed)) // the read under way
		assert.Assert(t, errors.Is(s.Close(), net.ErrClosed))
		assert.Assert(t, errors.Is(readFails(t, c), io.EOF))
		// Data that arrives at the closed end is answered with a reset.
		write(t, c, "nobody reads this")
		time.Sleep(2 * testLatency)
		_, err := c.Write([]byte("x"))
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	})
}

func TestReset(t *testing.T) {
	for name, end := range map[string]func(c *Conn){
		"Reset":     func(c *Conn) { c.Reset() },
		"SetLinger": func(c *Conn) { _ = c.SetLinger(0); _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, c, s *Conn) {
				write(t, s, "first")
				end(s)
				got, _ := read(t, c)
				assert.Equal(t, got, "first")
				assert.Assert(t, errors.Is(readFails(t, c), syscall.ECONNRESET))
				_, err := c.Write([]byte("x"))
				assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
			})
		})
	}
}

func TestCloseWithUnreadDataResets(t *testing.T) {
	for name, wait := range map[string]time.Duration{"arrived": testLatency, "under way": 0} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, c, s *Conn) {
				write(t, c, "unread")
				time.Sleep(wait)
				assert.NilError(t, s.Close())
				time.Sleep(2 * testLatency)
				_, err := c.Write([]byte("x"))
				assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
			})
		})
	}
}

func TestSilenceKeepsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, s, _, to := pair(t)
		write(t, c, "before")
		time.Sleep(testLatency)
		write(t, c, "under way")
		to.Silence()
		write(t, s, "held")
		got, _ := read(t, s)
		assert.Equal(t, got, "before")
		time.AfterFunc(time.Minute, to.Resume)
		got, took := read(t, c)
		assert.Equal(t, got, "held")
		assert.Equal(t, took, time.Minute+testLatency)
		got, _ = read(t, s)
		assert.Equal(t, got, "under way")
	})
}

func TestDialWaitsForASilentHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, s, from, to := pair(t)
		to.Silence()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := from.DialContext(ctx, "tcp4", s.LocalAddr().String())
		assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
		time.AfterFunc(time.Second, to.Resume)
		start := time.Now()
		_, err = from.DialContext(t.Context(), "tcp4", s.LocalAddr().String())
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), time.Second+testLatency)
	})
}

func TestQuiet(t *testing.T) {
	for name, arrive := range map[string]func(c *Conn){
		"data":       func(c *Conn) { _, _ = c.Write([]byte("x")) },
		"half-close": func(c *Conn) { _ = c.CloseWrite() },
		"close":      func(c *Conn) { _ = c.Close() },
		"reset":      func(c *Conn) { c.Reset() },
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, c, s *Conn) {
				arrive(s)
				assert.Assert(t, c.Quiet())
				time.Sleep(testLatency)
				assert.Assert(t, !c.Quiet())
			})
		})
	}
}

func TestClosedNetworkLeavesNobodyWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _, from, to := pair(t)
		to.Silence()
		dialed := make(chan error)
		go func() {
			_, err := from.DialContext(t.Context(), "tcp4", c.RemoteAddr().String())
			dialed <- err
		}()
		time.AfterFunc(time.Second, from.n.Close)
		assert.Assert(t, errors.Is(readFails(t, c), net.ErrClosed))
		assert.Assert(t, errors.Is(<-dialed, net.ErrClosed))
	})
}

// arrivals returns when data of several connections arrives.
func arrivals(t *testing.T, seed uint64) []time.Duration {
	t.Helper()
	var out []time.Duration
	synctest.Test(t, func(t *testing.T) {
		n := New(Options{Seed: seed, Latency: testLatency, Jitter: testLatency})
		defer n.Close()
		from, to := n.NewHost(), n.NewHost()
		ln, err := to.Listen(0)
		assert.NilError(t, err)
		start := time.Now()
		for range 5 {
			c, err := from.DialContext(t.Context(), "tcp4", ln.Addr().String())
			assert.NilError(t, err)
			s, err := ln.Accept()
			assert.NilError(t, err)
			write(t, c.(*Conn), "x")
			_, _ = read(t, s.(*Conn))
			out = append(out, time.Since(start))
		}
	})
	return out
}

func TestDelaysFollowFromTheSeed(t *testing.T) {
	assert.DeepEqual(t, arrivals(t, 1), arrivals(t, 1))
	assert.Assert(t, arrivals(t, 1)[0] != arrivals(t, 2)[0])
}
