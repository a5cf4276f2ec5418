// Package loopback finds free loopback addresses for the processes and fakes of tests.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The ports lie below the kernel's ephemeral range, which it uses for outgoing connections and for
// listeners without a fixed port. A port from that range could be assigned to another process between
// its choice here and its use, and the listener would fail to start.
const (
	firstPort = 20000
	lastPort  = 31999
	// portsPerProcess is the distance between the first ports of test processes with successive IDs. A VM
	// that restarts leaves its ports free for a moment, in which another process could take them.
	portsPerProcess = 1009
)

var nextPort atomic.Int32

// Concurrent test processes start at different ports.
func init() { nextPort.Store(int32(firstPort + os.Getpid()*portsPerProcess%(lastPort-firstPort))) }

// FreeAddress returns a loopback address whose port is free for both TCP and UDP.
func FreeAddress() string {
	for {
		port := firstPort + (int(nextPort.Add(1))-firstPort)%(lastPort-firstPort)
		addr := net.JoinHostPort("127.0.0.1", fmt.Sprint(port))
		if isFree(addr) {
			return addr
		}
	}
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
