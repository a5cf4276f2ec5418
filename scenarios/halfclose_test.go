package scenarios

import (
	"bufio"
	"cmp"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"fescuestand/platform/standin"
)

var halfClosedRequests = flag.Int("halfclose.requests", 200, "number of requests of each kind whose callers close their side")

const (
	// halfClosedCallers send requests at the same time, of each kind.
	halfClosedCallers = 10
	// halfClosedOld is the share of the callers that speak HTTP/1.0.
	halfClosedOld = 0.25
	// halfClosedCallTime and halfClosedEventInterval make a request last for some time after the close.
	halfClosedCallTime      = 50 * time.Millisecond
	halfClosedEventInterval = 10 * time.Millisecond
	halfClosedTimeout       = 8 * time.Second
	// minSealedShare is the minimum share of whole answers to callers of HTTP/1.1.
	minSealedShare = 0.95
)

// halfClosedAnswer is what a caller got that closed its side after a whole request.
type halfClosedAnswer struct {
	id     string
	old    bool // the caller speaks HTTP/1.0
	status int
	sealed bool
	body   string
	err    error // there is no whole answer
}

// halfClosedRun sends requests and closes the caller's side after each.
type halfClosedRun struct {
	*soak
	path string

	mu      sync.Mutex
	answers []*halfClosedAnswer
}

func (h *halfClosedRun) isStream() bool { return h.path == pathResumable }

// send sends requests, each on a connection of its own.
func (h *halfClosedRun) send(caller int) {
	rng := rand.New(rand.NewPCG(uint64(h.seed), uint64(caller)))
	for n := caller; n < *halfClosedRequests; n += halfClosedCallers {
		a := &halfClosedAnswer{id: fmt.Sprintf("h%s%d", strings.ReplaceAll(h.path, "/", "-"), n), old: rng.Float64() < halfClosedOld}
		a.exchange(h.vms[rng.IntN(len(h.vms))].front, h.path, h.isStream())
		h.mu.Lock()
		h.answers = append(h.answers, a)
		h.mu.Unlock()
	}
}

func (a *halfClosedAnswer) exchange(front, path string, stream bool) {
	c, err := net.Dial("tcp4", front)
	if err != nil {
		a.err = err
		return
	}
	defer func() { _ = c.Close() }()
	a.err = cmp.Or(c.SetDeadline(time.Now().Add(halfClosedTimeout)), a.request(c, path, stream), c.(*net.TCPConn).CloseWrite())
	if a.err == nil {
		a.read(bufio.NewReader(c))
	}
}

func (a *halfClosedAnswer) request(c net.Conn, path string, stream bool) error {
	version, tokens := "1.1", ""
	if a.old {
		version = "1.0"
	}
	if stream {
		tokens = "Token-Count: 300,20\r\n"
	}
	_, err := fmt.Fprintf(c, "POST %s HTTP/%s\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		path, version, soakHost, a.id, halfClosedTimeout.Milliseconds(), tokens, len(a.id), a.id)
	return err
}

// read reads the final answer. Interim responses precede it.
func (a *halfClosedAnswer) read(answers *bufio.Reader) {
	for {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			a.err = err
			return
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		a.status, a.sealed, a.body, a.err = resp.StatusCode, resp.Header.Get("Server-Seal") != "", string(body), err
		return
	}
}

// isWhole reports whether the body is the endpoint's whole one.
func (a *halfClosedAnswer) isWhole(stream bool) bool {
	if stream {
		return strings.Count(a.body, "\n\n") == standin.Events && strings.HasSuffix(a.body, "\n\n")
	}
	return a.body == standin.CallBody(a.id)
}

// contradiction returns how an answer contradicts the number of runs of its request, "" if it doesn't.
func (a *halfClosedAnswer) contradiction(runs int, stream bool) string {
	switch {
	case runs > 1 && !stream:
		return "ran more than once"
	case a.err != nil:
		return "got no whole answer"
	case a.status == http.StatusOK && !a.sealed:
		return "a success without a seal"
	case a.status == http.StatusOK && !a.isWhole(stream):
		return "a success with another body"
	case a.status == http.StatusOK && runs == 0:
		return "a success without a run"
	case promisesNotRun(a.status) && runs > 0:
		return "a refusal that denies the run"
	}
	return ""
}

func promisesNotRun(status int) bool {
	return slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}

// check compares each answer with the runs of its request.
func (h *halfClosedRun) check() {
	runs, sealed, young := h.runsOf(), 0, 0
	outcomes := map[string]int{}
	for _, a := range h.answers {
		if why := a.contradiction(runs[a.id], h.isStream()); why != "" {
			h.addViolation("%s: %s (status %d, %d runs, %v): %q", a.id, why, a.status, runs[a.id], a.err, a.body)
		}
		outcomes[fmt.Sprintf("HTTP/1.0=%t status=%d broken=%t runs=%d", a.old, a.status, a.err != nil, runs[a.id])]++
		if !a.old {
			young++
		}
		if !a.old && a.sealed && a.status == http.StatusOK {
			sealed++
		}
	}
	h.t.Log(outcomes)
	if float64(sealed) < minSealedShare*float64(young) || young == 0 {
		h.addViolation("%d of %d callers of HTTP/1.1 got their answer", sealed, young)
	}
}

// Guards against answers to callers that close their side after a whole request which contradict whether the
// request has run, and against callers that get no answer.
func TestHalfClosingCallersGetTheTruth(t *testing.T) {
	for name, path := range map[string]string{"lookups": pathReads, "commits": pathPay, "streams": pathResumable} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := &halfClosedRun{path: path}
			h.soak = newSoakOf(t, 7, engineSetup{
				count: pauseEndpoints, versions: []string{"v1"}, services: pauseEndpoints,
				eventInterval: halfClosedEventInterval, callTime: halfClosedCallTime,
			})
			h.awaitServing()
			var callers sync.WaitGroup
			for i := range halfClosedCallers {
				callers.Go(func() { h.send(i) })
			}
			callers.Wait()
			h.check()
			h.checkProcesses()
			h.reportViolations()
		})
	}
}
