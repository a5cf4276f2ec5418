// Package relay is a TCP proxy on the loopback interface that injects network faults between processes
// in tests. It delays data, resets connections, and blocks one or both directions.
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

// Directions, seen from the process that connects.
const (
	ToTarget   Direction = iota // to the target
	FromTarget                  // from the target
	directions
)

// Relay forwards TCP connections to a target.
type Relay struct {
	addr   string
	target string
	ln     net.Listener

	mu        sync.Mutex
	unblocked [directions]chan struct{} // closed while the direction isn't blocked
	delay     time.Duration
	conns     map[net.Conn]bool           // true for those that the relay has accepted
	cut       func(accepted net.Conn) Cut // nil if no connection is cut
	surplus   Surplus                     // nil for none
	truncate  Truncate                    // nil for none
}

// Cut says what happens to the connections of one of the connecting processes.
type Cut int

// The cuts.
const (
	NoCut     Cut = iota
	Hang          // connections stall, and new ones are accepted and forward nothing
	Reset         // connections are reset, new ones as soon as they are accepted
	RefuseNew     // as Reset for new connections; established ones go on
)

// cutPollInterval is the time between two checks whether a stalled connection is still cut.
const cutPollInterval = 20 * time.Millisecond

// Surplus returns bytes that the connecting process receives before a chunk of its data is forwarded, nil for none.
type Surplus func(accepted net.Conn, chunk []byte) []byte

// SetSurplus sets what connecting processes receive that the target hasn't sent.
func (r *Relay) SetSurplus(s Surplus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.surplus = s
}

// Truncate returns how many bytes of a chunk of the target's data are forwarded before the connection ends, and whether
// that is a reset. The connection goes on if it returns the whole length.
type Truncate func(chunk []byte) (n int, reset bool)

// SetTruncate sets which connections end within an answer.
func (r *Relay) SetTruncate(t Truncate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.truncate = t
}

// truncated returns what is forwarded of a chunk of the target's data, and the error with which the connection ends.
func (r *Relay) truncated(chunk []byte) ([]byte, error) {
	r.mu.Lock()
	t := r.truncate
	r.mu.Unlock()
	if t == nil {
		return chunk, nil
	}
	n, reset := t(chunk)
	switch {
	case n >= len(chunk):
		return chunk, nil
	case reset:
		return chunk[:n], errCut
	}
	return chunk[:n], io.EOF
}

// sendSurplus sends what the process that has sent a chunk is to receive before the target's answer.
func (r *Relay) sendSurplus(in net.Conn, chunk []byte) {
	r.mu.Lock()
	s := r.surplus
	r.mu.Unlock()
	if s == nil {
		return
	}
	if b := s(in, chunk); b != nil {
		_, _ = in.Write(b) // fails only if the process has closed the connection
	}
}

// New starts a relay to target on a free port.
func New(target string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{addr: ln.Addr().String(), target: target, ln: ln, conns: map[net.Conn]bool{}}
	for d := range directions {
		r.unblocked[d] = make(chan struct{})
		close(r.unblocked[d])
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
	r.track(in, true)
	defer r.untrack(in)
	if !r.admit(in) {
		return
	}
	<-r.unblockedChan(ToTarget)
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		closeWrite(in, err)
		return
	}
	defer func() { _ = out.Close() }()
	r.track(out, false)
	defer r.untrack(out)
	done := make(chan struct{}, 2)
	go func() { r.pipe(out, in, in, ToTarget); done <- struct{}{} }()
	go func() { r.pipe(in, out, in, FromTarget); done <- struct{}{} }()
	<-done
	<-done
}

// pipe forwards the bytes of one direction of the connection that was accepted as in.
func (r *Relay) pipe(dst, src, in net.Conn, d Direction) {
	const chunkBytes = 32 << 10
	buf := make([]byte, chunkBytes)
	for {
		n, err := src.Read(buf)
		<-r.unblockedChan(d)
		if !r.awaitUncut(in) {
			_ = src.Close()
			_ = dst.Close()
			return
		}
		r.sleepDelay()
		if n > 0 && d == ToTarget {
			r.sendSurplus(in, buf[:n])
		}
		chunk := buf[:n]
		if n > 0 && d == FromTarget {
			var end error
			if chunk, end = r.truncated(chunk); end != nil {
				_ = src.Close()
				err = end
			}
		}
		if n > 0 {
			if _, werr := dst.Write(chunk); werr != nil {
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

// closeWrite forwards an end of stream as an end of stream, and any other error as a reset.
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

func (r *Relay) track(c net.Conn, accepted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = accepted
}

func (r *Relay) untrack(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

func (r *Relay) unblockedChan(d Direction) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unblocked[d]
}

func (r *Relay) sleepDelay() {
	r.mu.Lock()
	d := r.delay
	r.mu.Unlock()
	time.Sleep(d)
}

// Block blocks both directions, as a network that drops packets does: the relay accepts connections but
// forwards nothing, and established connections stall. false unblocks them.
func (r *Relay) Block(block bool) {
	for d := range directions {
		r.BlockDirection(d, block)
	}
}

// BlockDirection blocks or unblocks one direction.
func (r *Relay) BlockDirection(d Direction, block bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.unblocked[d]:
		if block {
			r.unblocked[d] = make(chan struct{})
		}
	default:
		if !block {
			close(r.unblocked[d])
		}
	}
}

var errCut = errors.New("cut")

// SetCut cuts the accepted connections for which cut says so. cut is called often and must return the
// same value for a connection each time. A nil cut ends that.
func (r *Relay) SetCut(cut func(accepted net.Conn) Cut) {
	r.mu.Lock()
	r.cut = cut
	conns := make([]net.Conn, 0, len(r.conns))
	for c, accepted := range r.conns {
		if accepted {
			conns = append(conns, c)
		}
	}
	r.mu.Unlock()
	for _, c := range conns {
		if r.cutOf(c) == Reset {
			closeWrite(c, errCut)
		}
	}
}

func (r *Relay) cutOf(c net.Conn) Cut {
	r.mu.Lock()
	cut := r.cut
	r.mu.Unlock()
	if cut == nil {
		return NoCut
	}
	return cut(c)
}

// admit waits while a new connection hangs. It returns false if the connection is reset.
func (r *Relay) admit(c net.Conn) bool {
	for {
		switch r.cutOf(c) {
		case NoCut:
			return true
		case Reset, RefuseNew:
			closeWrite(c, errCut)
			return false
		case Hang:
			time.Sleep(cutPollInterval)
		}
	}
}

// awaitUncut waits while the connection hangs. It returns false if the connection is reset.
func (r *Relay) awaitUncut(c net.Conn) bool {
	for {
		switch r.cutOf(c) {
		case NoCut, RefuseNew:
			return true
		case Reset:
			closeWrite(c, errCut)
			return false
		case Hang:
			time.Sleep(cutPollInterval)
		}
	}
}

// SetDelay delays each chunk of data by d, in both directions.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// ResetConnections resets the established connections. New ones are not affected.
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

// Close stops the relay and resets its connections.
func (r *Relay) Close() {
	r.Block(false)
	_ = r.ln.Close()
	r.ResetConnections()
}
