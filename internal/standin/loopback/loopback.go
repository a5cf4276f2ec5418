// Package loopback finds free loopback addresses for the processes and fakes of tests.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
)

// The ports lie below the kernel's ephemeral range, which it uses for outgoing connections and for
// listeners without a fixed port. A port from that range could be assigned to another process between
// its choice here and its use, and the listener would fail to start.
const (
	firstPort = 20000
	lastPort  = 31999
)

var nextPort atomic.Int32

// Concurrent test processes start at different ports.
func init() { nextPort.Store(int32(firstPort + os.Getpid()%(lastPort-firstPort))) }

// FreeAddress returns a loopback address whose port is free for both TCP and UDP.
func FreeAddress() string {
	for {
		port := firstPort + (int(nextPort.Add(1))-firstPort)%(lastPort-firstPort)
		addr := net.JoinHostPort("127.0.0.1", fmt.Sprint(port))
		if take(port, addr) {
			return addr
		}
	}
}

// take reserves a port and reports whether it is free. A port that another test process has reserved isn't tried: its
// owner may be opening it at that moment.
func take(port int, addr string) bool { return reserve(port) && isFree(addr) }

// reservations keeps the locks of ports until the process ends.
var reservations sync.Map

// reserve locks a port for this process. A VM that restarts leaves its ports free for a moment, in which
// another test process could take them. The lock is an abstract Unix socket: unlike a file it is shared by
// all processes that share the port, whatever their temporary folder.
func reserve(port int) bool {
	ln, err := net.Listen("unix", fmt.Sprintf("@fescuestand-port-%d", port))
	if err != nil {
		return false
	}
	reservations.Store(port, ln)
	return true
}

func isFree(addr string) bool {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer func() { _ = ln.Close() }()
	pc, err := net.ListenPacket("udp4", addr)
	if err != nil {
		return false
	}
	_ = pc.Close()
	return true
}
