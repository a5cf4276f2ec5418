package simnet

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// packetPair returns the receivers of two hosts.
func packetPair(t *testing.T, o Options) (from, to *PacketConn, sender *Host) {
	t.Helper()
	n := New(o)
	t.Cleanup(n.Close)
	sender = n.NewHost()
	from, err := sender.ListenPacket(7)
	assert.NilError(t, err)
	to, err = n.NewHost().ListenPacket(7)
	assert.NilError(t, err)
	return from, to, sender
}

func sendPacket(t *testing.T, from, to *PacketConn, text string) {
	t.Helper()
	n, err := from.WriteTo([]byte(text), to.LocalAddr())
	assert.NilError(t, err)
	assert.Equal(t, n, len(text))
}

func TestDatagramsArriveAfterTheLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from, to, _ := packetPair(t, Options{Latency: testLatency})
		start, b := time.Now(), make([]byte, 16)
		sendPacket(t, from, to, "one")
		n, addr, err := to.ReadFrom(b)
		assert.NilError(t, err)
		assert.Equal(t, string(b[:n]), "one")
		assert.Equal(t, addr.String(), from.LocalAddr().String())
		assert.Equal(t, time.Since(start), testLatency)
	})
}

func TestDatagramsAreLostBySeed(t *testing.T) {
	arrived := func(seed uint64) (got string) {
		synctest.Test(t, func(t *testing.T) {
			from, to, _ := packetPair(t, Options{Seed: seed, Latency: testLatency, Loss: 0.3})
			for i := range 100 {
				sendPacket(t, from, to, fmt.Sprint(i, " "))
				time.Sleep(time.Millisecond)
			}
			assert.NilError(t, to.SetReadDeadline(time.Now().Add(time.Second)))
			b := make([]byte, 16)
			for {
				n, _, err := to.ReadFrom(b)
				if errors.Is(err, os.ErrDeadlineExceeded) {
					return
				}
				assert.NilError(t, err)
				got += string(b[:n])
			}
		})
		return got
	}
	first := arrived(1)
	assert.Check(t, len(first) > 150 && len(first) < 260, "%d bytes arrived of 290", len(first))
	assert.Equal(t, first, arrived(1))
	assert.Check(t, first != arrived(2))
}

func TestDatagramsOfASilentHostAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from, to, sender := packetPair(t, Options{Latency: testLatency})
		sender.Silence()
		sendPacket(t, from, to, "lost")
		sender.Resume()
		sendPacket(t, from, to, "kept")
		b := make([]byte, 16)
		n, _, err := to.ReadFrom(b)
		assert.NilError(t, err)
		assert.Equal(t, string(b[:n]), "kept")
	})
}

func TestSocketsListenOnTheirHostOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(Options{Latency: testLatency})
		t.Cleanup(n.Close)
		h, other := n.NewHost(), n.NewHost()
		_, err := h.Sockets().Listen(t.Context(), "tcp4", net.JoinHostPort(other.IP().String(), "80"))
		assert.ErrorIs(t, err, syscall.EADDRNOTAVAIL)
		p, err := h.Sockets().ListenPacket(t.Context(), "udp4", net.JoinHostPort(h.IP().String(), "80"))
		assert.NilError(t, err)
		_, err = h.Sockets().ListenPacket(t.Context(), "udp4", net.JoinHostPort(h.IP().String(), "80"))
		assert.ErrorIs(t, err, syscall.EADDRINUSE)
		assert.NilError(t, p.Close())
		_, _, err = p.ReadFrom(nil)
		assert.ErrorIs(t, err, net.ErrClosed)
	})
}
