// Package peer carries the messages between the system's own processes: yamux
// sessions over TCP, one protobuf request or one forwarded call per stream.
//
// A session opens with a Hello in both directions; a peer of another protocol
// version or deployment is refused with a numbered code before anything else
// is read from it. yamux keepalives notice a peer that vanished without closing
// its connection; every call is bounded by its context as well, since a frozen
// peer still acknowledges at the TCP level.
package peer

import (
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"fescuestand/internal/code"
	"fescuestand/internal/wire"
)

// Protocol is the version that Hello carries. Raise it on an incompatible
// change of the messages.
const Protocol = 1

const (
	handshakeTimeout  = 3 * time.Second
	keepAliveInterval = 5 * time.Second
	writeTimeout      = 5 * time.Second
	acceptBacklog     = 256
	streamWindow      = 1 << 20 // bytes buffered per stream, yamux's own window
)

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.MaxStreamWindowSize = streamWindow
	c.LogOutput = io.Discard // every failure also reaches the caller as an error
	return c
}

// handshake exchanges Hello messages on a fresh connection and checks the
// peer's.
func handshake(conn net.Conn, own *wire.Hello) (*wire.Hello, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	sent := make(chan error, 1)
	go func() { sent <- writeMessage(conn, own) }()
	var theirs wire.Hello
	readErr := readMessage(conn, &theirs)
	if err := <-sent; err != nil {
		return nil, code.Wrap(code.PeerGone, err, "hello not sent")
	}
	if readErr != nil {
		return nil, code.Wrap(code.PeerGone, readErr, "no hello")
	}
	if theirs.Protocol != own.Protocol {
		return nil, code.New(code.PeerVersion, "peer %s speaks protocol %d, this process %d", theirs.Vm, theirs.Protocol, own.Protocol)
	}
	if theirs.Deployment != own.Deployment {
		return nil, code.New(code.PeerVersion, "peer %s belongs to deployment %q, this process to %q", theirs.Vm, theirs.Deployment, own.Deployment)
	}
	return &theirs, conn.SetDeadline(time.Time{})
}
