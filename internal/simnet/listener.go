package simnet

import "net"

// Listener is a net.Listener of a Host.
type Listener struct {
	h       *Host
	port    uint16
	addr    *net.TCPAddr
	closed  bool
	backlog []*Conn
	changed chan struct{} // closed and replaced when the other fields change
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, changed, err := l.next()
		if c != nil {
			return c, nil
		}
		if err != nil {
			return nil, err
		}
		<-changed
	}
}

// next returns the next connection, or a channel that is closed when there may be one.
func (l *Listener) next() (*Conn, <-chan struct{}, error) {
	l.h.n.mu.Lock()
	defer l.h.n.mu.Unlock()
	if l.closed {
		return nil, nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.addr, Err: net.ErrClosed}
	}
	if len(l.backlog) == 0 {
		return nil, l.changed, nil
	}
	c := l.backlog[0]
	l.backlog = l.backlog[1:]
	return c, nil, nil
}

// Close implements net.Listener. It resets the connections that haven't been accepted.
func (l *Listener) Close() error {
	l.h.n.mu.Lock()
	defer l.h.n.mu.Unlock()
	if l.closed {
		return &net.OpError{Op: "close", Net: "tcp", Addr: l.addr, Err: net.ErrClosed}
	}
	l.close()
	return nil
}

// close closes the listener. The network's mutex is held.
func (l *Listener) close() {
	if l.closed {
		return
	}
	l.closed = true
	delete(l.h.listeners, l.port)
	for _, c := range l.backlog {
		c.close(true)
	}
	l.backlog = nil
	l.signal()
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.addr }

// signal wakes Accept. The network's mutex is held.
func (l *Listener) signal() {
	close(l.changed)
	l.changed = make(chan struct{})
}
