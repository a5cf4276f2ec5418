// Package readgate holds back what a process has read, so that a test can do something between a read and the handling
// of its data.
package readgate

import (
	"net"
	"sync"
)

// Gate holds back the first read that receives data after it has been armed.
type Gate struct {
	// Reached is closed when a read is held back.
	Reached chan struct{}

	mu     sync.Mutex
	armed  bool
	opened chan struct{}
	open   sync.Once
}

// New returns a gate that isn't armed.
func New() *Gate { return &Gate{Reached: make(chan struct{}), opened: make(chan struct{})} }

// Arm makes the gate hold back the next read that receives data.
func (g *Gate) Arm() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.armed = true
}

// Open lets the read return.
func (g *Gate) Open() { g.open.Do(func() { close(g.opened) }) }

func (g *Gate) pass() {
	g.mu.Lock()
	armed := g.armed
	g.armed = false
	g.mu.Unlock()
	if armed {
		close(g.Reached)
		<-g.opened
	}
}

// Listen returns a listener whose connections' reads pass the gate.
func (g *Gate) Listen(ln net.Listener) net.Listener { return &listener{ln, g} }

type listener struct {
	net.Listener
	gate *Gate
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{c, l.gate}, nil
}

type conn struct {
	net.Conn
	gate *Gate
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.gate.pass()
	}
	return n, err
}
