package httpdriver_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver"
	"fescuestand/internal/driver/httpdriver/httpapi"
)

func openService(t *testing.T, address string) driver.Service {
	t.Helper()
	open, err := driver.Services.Get(httpdriver.Name)
	assert.NilError(t, err)
	s, err := open(driver.Target{Driver: httpdriver.Name, Address: address})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func openEngine(t *testing.T, address string) driver.Engine {
	t.Helper()
	open, err := driver.Engines.Get(httpdriver.Name)
	assert.NilError(t, err)
	e, err := open(driver.Target{Driver: httpdriver.Name, Address: address})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = e.Close() })
	return e
}

func startServer(t *testing.T, status int, attempt, body string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(httpapi.HeaderAttempt, attempt)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func TestAnswerIsMappedToError(t *testing.T) {
	tests := []struct {
		name, attempt, body string
		status              int
		want                error
	}{
		{"ok", "a1", "{}", 200, nil},
		{"other attempt", "a2", "{}", 200, driver.ErrBadAnswer},
		{"refused", "", `{"name":"queue-full","ran":false}`, 503, driver.ErrRefused},
		{"refused, other attempt", "a2", `{"name":"queue-full","ran":false}`, 503, driver.ErrBadAnswer},
		{"ran and failed", "", `{"name":"failed","ran":true}`, 500, driver.ErrFailed},
		{"no reason", "", "Bad Gateway", 502, driver.ErrBadAnswer},
		{"stale", "", `{"name":"stale-fence"}`, 409, driver.ErrStaleFence},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := openService(t, startServer(t, tt.status, tt.attempt, tt.body))
			_, err := s.Call(t.Context(), &driver.Call{Attempt: "a1", Operation: "commit", Key: "k"})
			if tt.want == nil {
				assert.NilError(t, err)
				return
			}
			assert.ErrorIs(t, err, tt.want)
		})
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = openService(t, address).Call(t.Context(), &driver.Call{Attempt: "a", Operation: "o"})
	assert.ErrorIs(t, err, driver.ErrNotSent)
}

// Guards against a commit that runs twice: the endpoint receives the request over a reused
// connection, does the work and crashes before it answers. net/http then retries a request that
// carries an idempotency key on a new connection, although the system dispatches it only once.
func TestTransportDoesNotRetryRequests(t *testing.T) {
	for _, body := range []string{"", "lot 7"} {
		var calls atomic.Int32
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if calls.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set(httpapi.HeaderAttempt, "a1")
		}))
		defer s.Close()
		d := openService(t, s.Listener.Addr().String())
		call := &driver.Call{Attempt: "a1", Operation: "commit", Key: "k", Body: []byte(body)}
		_, err := d.Call(t.Context(), call)
		assert.NilError(t, err)
		_, err = d.Call(t.Context(), call)
		assert.ErrorIs(t, err, driver.ErrConnectionLost)
		assert.Equal(t, calls.Load(), int32(2))
	}
}

func TestDeadlineAfterSendingIsConnectionLost(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	defer s.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := openService(t, s.Listener.Addr().String()).Call(ctx, &driver.Call{Attempt: "a", Operation: "o"})
	assert.ErrorIs(t, err, driver.ErrConnectionLost)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// Guards against a commit that runs although its caller got the answer "not run": the request is
// cancelled after the connection is established and before anything is written; the driver reports
// ErrNotSent, and the writing goroutine of net/http sends the request afterwards.
func TestCancelledRequestReportedNotSentIsNotReceived(t *testing.T) {
	var arrived sync.Map
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived.Store(r.Header.Get(httpapi.HeaderKey), true)
		w.Header().Set(httpapi.HeaderAttempt, "a")
	}))
	defer s.Close()
	d := openService(t, s.Listener.Addr().String())
	var notSent []string
	const tries = 500
	for i := range tries {
		key := strconv.Itoa(i)
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i)*time.Microsecond)
		_, err := d.Call(ctx, &driver.Call{Attempt: "a", Operation: "o", Key: key})
		cancel()
		if errors.Is(err, driver.ErrNotSent) {
			notSent = append(notSent, key)
		}
	}
	time.Sleep(50 * time.Millisecond)
	assert.Assert(t, len(notSent) > 0)
	for _, key := range notSent {
		_, ran := arrived.Load(key)
		assert.Assert(t, !ran, "the endpoint received a request that was reported as not sent")
	}
}

// Guards against two conflicting orders that both take effect: a lease holder is paused between its
// lease check and its order, another process takes over, and the old order arrives later. Engines
// execute complete orders only, so the last byte must not be sent if the permit fails.
func TestDeniedPermitLeavesOrderIncomplete(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	whole := make(chan bool, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil {
			_, err = io.ReadAll(req.Body)
		}
		whole <- err == nil
	}()
	errLeaseExpired := errors.New("lease has expired")
	err = openEngine(t, l.Addr().String()).Order(t.Context(),
		driver.Order{ID: "o1", Kind: driver.OrderRole, Role: driver.RoleDecode},
		func() error { return errLeaseExpired })
	assert.ErrorIs(t, err, errLeaseExpired)
	assert.ErrorIs(t, err, driver.ErrNotSent)
	assert.Assert(t, !<-whole)
}

func TestInvalidTokenStreamIsRejected(t *testing.T) {
	token := `{"attempt":"a1","pos":0,"text":"eHg="}` + "\n"
	tests := []struct {
		name, body string
		want       error
	}{
		{"no end line", token, driver.ErrConnectionLost},
		{"other attempt", token + `{"attempt":"a2","pos":1,"text":"eHg="}` + "\n", driver.ErrBadAnswer},
		{"skips a position", token + `{"attempt":"a1","pos":2,"text":"eHg="}` + "\n", driver.ErrBadAnswer},
		{"wrong checksum", token + `{"attempt":"a1","end":true,"tokens":1,"sum":1}` + "\n", driver.ErrBadAnswer},
		{"wrong count", token + `{"attempt":"a1","end":true,"tokens":2}` + "\n", driver.ErrBadAnswer},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := openEngine(t, startServer(t, 200, "a1", tt.body))
			s, err := e.Generate(t.Context(), &driver.GenerateRequest{Attempt: "a1", MaxTokens: 5})
			assert.NilError(t, err)
			defer func() { _ = s.Close() }()
			_, err = s.Next()
			assert.NilError(t, err)
			_, err = s.Next()
			assert.ErrorIs(t, err, tt.want)
		})
	}
}

func TestUnknownOptionIsReported(t *testing.T) {
	open, err := driver.Logs.Get(httpdriver.Name)
	assert.NilError(t, err)
	_, err = open(driver.Target{Address: "127.0.0.1:1", Options: map[string]string{"colour": "red"}})
	assert.Assert(t, err != nil && strings.Contains(err.Error(), `"colour"`))
}
