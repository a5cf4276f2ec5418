package httpserver

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/simnet"
)

const (
	shortHeaderLimit = 2 * time.Second
	shortIdleLimit   = 4 * time.Second
	// creepInterval is the time between two bytes of a caller that creeps.
	creepInterval = 250 * time.Millisecond
	// endTolerance is the network's delay and the time that the end of a connection takes.
	endTolerance = 50 * time.Millisecond
)

// simulated runs f with a server in simulated time and a function that connects to it.
func simulated(t *testing.T, f func(t *testing.T, s *Server, dial func() net.Conn)) {
	t.Helper()
	simulatedHandler(t, answerOK, f)
}

// simulatedHandler is simulated with a handler.
func simulatedHandler(t *testing.T, h http.Handler, f func(t *testing.T, s *Server, dial func() net.Conn)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := simnet.New(simnet.Options{Seed: 1, Latency: time.Millisecond})
		host, callers := network.NewHost(), network.NewHost()
		ln, err := host.Listen(0)
		assert.NilError(t, err)
		base := &http.Server{ReadHeaderTimeout: testHeaderTimeout, IdleTimeout: testIdleTimeout}
		s := New(h, base, Options{})
		served := make(chan error, 1)
		go func() { served <- s.Serve(ln) }()
		t.Cleanup(func() {
			assert.Check(t, s.Close() == nil)
			assert.Check(t, <-served == nil)
		})
		f(t, s, func() net.Conn {
			c, err := callers.DialContext(t.Context(), "tcp4", ln.Addr().String())
			assert.NilError(t, err)
			t.Cleanup(func() { _ = c.Close() })
			return c
		})
	})
}

// creep sends a byte each creepInterval until the connection has ended, and returns how long that took.
func creep(c net.Conn) time.Duration {
	began, ended := time.Now(), make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, c)
	}()
	for {
		select {
		case <-ended:
			return time.Since(began)
		case <-time.After(creepInterval):
			_, _ = io.WriteString(c, "x")
		}
	}
}

func assertAround(t *testing.T, got, want time.Duration) {
	t.Helper()
	assert.Assert(t, got >= want-endTolerance && got <= want+creepInterval+endTolerance, "ended after %s, wanted %s", got, want)
}

// Guards against callers that hold connections by sending a header byte by byte.
func TestCreepingHeaderEndsByTheLimit(t *testing.T) {
	for name, begin := range map[string]func(t *testing.T, c net.Conn){
		"first header": func(t *testing.T, c net.Conn) { sendText(t, c, "GET / HTTP/1.1\r\nHost: h\r\nX: ") },
		"first header after a pause": func(t *testing.T, c net.Conn) {
			time.Sleep(shortIdleLimit - time.Second)
			sendText(t, c, "GET / HTTP/1.1\r\n")
		},
		"next header": func(t *testing.T, c net.Conn) {
			sendText(t, c, getRequest)
			assert.Equal(t, readBody(t, bufio.NewReader(c)), "ok")
			sendText(t, c, "G")
		},
	} {
		t.Run(name, func(t *testing.T) {
			simulated(t, func(t *testing.T, s *Server, dial func() net.Conn) {
				s.SetLimits(Limits{Header: shortHeaderLimit, Idle: shortIdleLimit})
				c := dial()
				begin(t, c)
				assertAround(t, creep(c), shortHeaderLimit)
				assert.Equal(t, s.Counts().HeadersLate, int64(1))
			})
		})
	}
}

// Guards against idle connections that stay open beyond the limit in force, or are closed before it.
func TestIdleConnectionEndsByTheLimit(t *testing.T) {
	for name, tc := range map[string]struct {
		before, after Limits
		changed       time.Duration // after the answer
		want          time.Duration
	}{
		"default":                  {want: testIdleTimeout},
		"set before":               {before: Limits{Idle: shortIdleLimit}, want: shortIdleLimit},
		"lowered":                  {before: Limits{Idle: 40 * time.Second}, after: Limits{Idle: shortIdleLimit}, changed: 10 * time.Second, want: 10*time.Second + shortIdleLimit},
		"lowered shortly before":   {before: Limits{Idle: 40 * time.Second}, after: Limits{Idle: shortIdleLimit}, changed: 39 * time.Second, want: 40 * time.Second},
		"lowered at the beginning": {before: Limits{Idle: 40 * time.Second}, after: Limits{Idle: shortIdleLimit}, changed: time.Second, want: time.Second + shortIdleLimit},
		"raised":                   {before: Limits{Idle: shortIdleLimit}, after: Limits{Idle: 90 * time.Second}, changed: 3 * time.Second, want: 90 * time.Second},
		"back to the default":      {before: Limits{Idle: shortIdleLimit}, changed: 3 * time.Second, want: testIdleTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			simulated(t, func(t *testing.T, s *Server, dial func() net.Conn) {
				s.SetLimits(tc.before)
				c := dial()
				sendText(t, c, getRequest)
				rd := bufio.NewReader(c)
				assert.Equal(t, readBody(t, rd), "ok")
				answered := time.Now()
				if tc.changed > 0 {
					time.Sleep(tc.changed)
					s.SetLimits(tc.after)
				}
				_, err := rd.ReadByte()
				assert.ErrorIs(t, err, io.EOF)
				got := time.Since(answered)
				assert.Assert(t, got >= tc.want-endTolerance && got <= tc.want+endTolerance, "ended after %s, wanted %s", got, tc.want)
				assert.Equal(t, s.Counts().IdleClosed, int64(1))
			})
		})
	}
}

const (
	changedLimitsConns = 40
	changedLimitsTime  = 30 * time.Second
)

// Guards against a change of the limits that cuts requests: callers reuse their connections within four fifths of the
// lowest limit, and send headers in two pieces.
func TestChangedLimitsCutNoRequest(t *testing.T) {
	simulated(t, func(t *testing.T, s *Server, dial func() net.Conn) {
		low, high := Limits{Header: shortHeaderLimit, Idle: shortIdleLimit}, Limits{Header: 2 * shortHeaderLimit, Idle: 2 * shortIdleLimit}
		s.SetLimits(high)
		end := time.Now().Add(changedLimitsTime)
		var callers sync.WaitGroup
		for i := range changedLimitsConns {
			c, rng := dial(), rand.New(rand.NewPCG(1, uint64(i)))
			callers.Go(func() {
				for rd := bufio.NewReader(c); time.Now().Before(end); {
					head, tail, _ := strings.Cut(getRequest, "\r\n")
					sendText(t, c, head+"\r\n")
					time.Sleep(time.Duration(rng.Int64N(int64(shortHeaderLimit * 4 / 5))))
					sendText(t, c, tail)
					assert.Check(t, readBody(t, rd) == "ok")
					time.Sleep(time.Duration(rng.Int64N(int64(shortIdleLimit * 4 / 5))))
				}
			})
		}
		for i := 0; time.Now().Before(end); i++ {
			time.Sleep(time.Second)
			s.SetLimits([]Limits{low, high}[i%2])
		}
		callers.Wait()
	})
}

// expiringListener accepts connections whose next read, once armed, goes on only after its deadline.
type expiringListener struct {
	net.Listener
	armed, expire chan struct{}
}

func (l *expiringListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &expiringConn{c.(*net.TCPConn), l}, nil
}

type expiringConn struct {
	*net.TCPConn
	l *expiringListener
}

func (c *expiringConn) Read(b []byte) (int, error) {
	if len(b) == readAheadBytes {
		return c.TCPConn.Read(b)
	}
	select {
	case <-c.l.armed:
		<-c.l.expire
		return 0, os.ErrDeadlineExceeded
	default:
		return c.TCPConn.Read(b)
	}
}

// Guards against a request that is dropped as it arrives just before its connection is closed for having been idle.
func TestRequestThatArrivesAtTheIdleLimitIsAnswered(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	gate := &expiringListener{ln, make(chan struct{}), make(chan struct{})}
	arm := sync.OnceFunc(func() { close(gate.armed) })
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arm()
		answerOK(w, r)
	})
	base := &http.Server{ReadHeaderTimeout: testHeaderTimeout, IdleTimeout: testIdleTimeout}
	s := startOn(t, gate, handler, base, Options{})
	c, answers := dial(t, s)
	sendText(t, c, getRequest)
	assert.Equal(t, readBody(t, answers), "ok")
	s.awaitIdle(t)
	sendText(t, c, getRequest)
	close(gate.expire)
	assert.Equal(t, readBody(t, answers), "ok")
}

// Guards against callers that hold their requests, and the memory of the answers, by not reading: while their kernel
// acknowledges probes, no timeout of TCP ends the connection.
func TestAnswerThatIsNotReadIsGivenUp(t *testing.T) {
	const answerBytes, partBytes = 1 << 20, 64 << 10 // several windows
	const limit = 10 * maxWriteTime
	for name, tc := range map[string]struct {
		requests int
		readPart int           // that the caller reads
		pause    time.Duration // after each part
		whole    bool
	}{
		"no read":                  {requests: 1},
		"further requests, unread": {requests: 100},
		"slow":                     {requests: 1, readPart: partBytes, pause: maxWriteTime / 2, whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			var ended chan error
			handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				var err error
				for n := 0; n < answerBytes && err == nil; n += partBytes {
					_, err = w.Write(make([]byte, partBytes))
				}
				ended <- err
			})
			simulatedHandler(t, handler, func(t *testing.T, s *Server, dial func() net.Conn) {
				ended = make(chan error, tc.requests) // in the bubble
				c := dial()
				sendText(t, c, strings.Repeat(getRequest, tc.requests))
				began := time.Now()
				var reader sync.WaitGroup
				defer reader.Wait()
				if tc.readPart > 0 {
					reader.Go(func() {
						for _, err := io.ReadFull(c, make([]byte, tc.readPart)); err == nil; _, err = io.ReadFull(c, make([]byte, tc.readPart)) {
							time.Sleep(tc.pause)
						}
					})
				}
				select {
				case err := <-ended:
					assert.Equal(t, err == nil, tc.whole, "%v", err)
					assert.Assert(t, tc.whole || time.Since(began) <= maxWriteTime+endTolerance, "after %s", time.Since(began))
				case <-time.After(limit):
					t.Error("the handler still writes")
				}
				time.Sleep(endTolerance)
				assert.Check(t, s.InFlight() == 0)
				_ = c.Close()
			})
		})
	}
}
