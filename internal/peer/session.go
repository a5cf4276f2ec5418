// Package peer transports messages between the system's own processes. It uses yamux sessions
// over TCP, with one protobuf request or one forwarded call per stream.
//
// Both sides start a session with a Hello message. A peer of another protocol version or
// deployment is rejected with a result code before anything else is read from it.
//
// yamux keepalives detect a peer that has failed without closing its connection. Every call is
// bounded by its context as well, since the TCP stack of a frozen peer still acknowledges data.
package peer

import (
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"fescuestand/internal/code"
	"fescuestand/internal/wire"
)

// Protocol is the protocol version sent in Hello. It must be incremented when the messages change
// incompatibly.
const Protocol = 1

const (
	handshakeTimeout  = 3 * time.Second
	keepAliveInterval = 5 * time.Second
	writeTimeout      = 5 * time.Second
	acceptBacklog     = 256
	streamWindowBytes = 1 << 20 // bytes buffered per stream, yamux's own window
)

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.MaxStreamWindowSize = streamWindowBytes
	c.LogOutput = io.Discard // every failure also reaches the caller as an error
	return c
}

// handshake exchanges Hello messages on a new connection, and checks that the peer has the same
// protocol version and deployment.
func handshake(conn net.Conn, local *wire.Hello) (*wire.Hello, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	sent := make(chan error, 1)
	go func() { sent <- writeMessage(conn, local) }()
	var remote wire.Hello
	readErr := readMessage(conn, &remote, unclaimed)
	if err := <-sent; err != nil {
		return nil, code.Wrap(code.PeerGone, err, "hello not sent")
	}
	if readErr != nil {
		return nil, code.Wrap(code.PeerGone, readErr, "no hello")
	}
	if remote.Protocol != local.Protocol {
		return nil, code.New(code.PeerVersion, "peer %s speaks protocol %d, this process %d", remote.Vm, remote.Protocol, local.Protocol)
	}
	if remote.Deployment != local.Deployment {
		return nil, code.New(code.PeerVersion, "peer %s belongs to deployment %q, this process to %q", remote.Vm, remote.Deployment, local.Deployment)
	}
	return &remote, conn.SetDeadline(time.Time{})
}
