// Package relay is a TCP proxy on the loopback through which tests harm the
// connections between processes: it delays them, resets them, silences them or
// cuts one direction.
package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Direction of the bytes through a relay.
type Direction int

// The directions.
const (
	ToTarget Direction = iota // to the target
	FromTarget                   // from the target
	directions
)

// Relay passes TCP connections on to a target.
type Relay struct {
	addr   string
	target string
	ln     net.Listener

	mu    sync.Mutex
	heal  [directions]chan struct{} // closed when the direction isn't cut
	delay time.Duration
	conns map[net.Conn]bool
}

// New starts a relay to target on a free port.
func New(target string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{addr: ln.Addr().String(), target: target, ln: ln, conns: map[net.Conn]bool{}}
	for d := range directions {
		r.heal[d] = make(chan struct{})
		close(r.heal[d])
	}
	go r.accept()
	return r, nil
}

// Addr is the address to connect to.
func (r *Relay) Addr() string { return r.addr }

func (r *Relay) accept() {
	for {
		conn, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *Relay) serve(in net.Conn) {
	defer func() { _ = in.Close() }()
	r.track(in)
	defer r.forget(in)
	<-r.healed(ToTarget)
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		closeWrite(in, err)
		return
	}
	defer func() { _ = out.Close() }()
	r.track(out)
	defer r.forget(out)
	done := make(chan struct{}, 2)
	go func() { r.pipe(out, in, ToTarget); done <- struct{}{} }()
	go func() { r.pipe(in, out, FromTarget); done <- struct{}{} }()
	<-done
	<-done
}

func (r *Relay) pipe(dst, src net.Conn, d Direction) {
	const chunk = 32 << 10
	buf := make([]byte, chunk)
	for {
		n, err := src.Read(buf)
		<-r.healed(d)
		r.wait()
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				_ = src.Close()
				return
			}
		}
		if err != nil {
			closeWrite(dst, err)
			return
		}
	}
}

// closeWrite passes an end on as an end and a reset as a reset.
func closeWrite(dst net.Conn, err error) {
	tcp, ok := dst.(*net.TCPConn)
	if errors.Is(err, io.EOF) && ok {
		_ = tcp.CloseWrite()
		return
	}
	if ok {
		_ = tcp.SetLinger(0)
	}
	_ = dst.Close()
}

func (r *Relay) track(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
}

func (r *Relay) forget(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

func (r *Relay) healed(d Direction) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heal[d]
}

func (r *Relay) wait() {
	r.mu.Lock()
	d := r.delay
	r.mu.Unlock()
	time.Sleep(d)
}

// Block silences both directions, as a network that drops packets does: the relay
// accepts and nothing arrives; established connections freeze. false heals it.
func (r *Relay) Block(cut bool) {
	for d := range directions {
		r.BlockDirection(d, cut)
	}
}

// BlockDirection silences one direction.
func (r *Relay) BlockDirection(d Direction, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.heal[d]:
		if cut {
			r.heal[d] = make(chan struct{})
		}
	default:
		if !cut {
			close(r.heal[d])
		}
	}
}

// SetDelay holds all that arrives back for d.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// ResetConnections resets the established connections; new ones work.
func (r *Relay) ResetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.Block(false)
	_ = r.ln.Close()
	r.ResetConnections()
}
