package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/standin/engine"
	"fescuestand/internal/standin/service"
)

// sendHalfClosed sends a whole request, closes the caller's side for writing and returns the answer.
func sendHalfClosed(t *testing.T, addr, path, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer func() { _ = nc.Close() }()
	lines := append([]string{"POST " + path + " HTTP/1.1", "Host: h", "Deadline-Ms: 5000", fmt.Sprintf("Content-Length: %d", len(body))}, header...)
	_, err = io.WriteString(nc, strings.Join(lines, "\r\n")+"\r\n\r\n"+body)
	assert.NilError(t, err)
	assert.NilError(t, nc.(*net.TCPConn).CloseWrite())
	assert.NilError(t, nc.SetReadDeadline(time.Now().Add(maxAnswerTime)))
	resp, err := readFinalResponse(bufio.NewReader(nc))
	if err != nil {
		return nil, "", err
	}
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

// readFinalResponse skips interim responses.
func readFinalResponse(answers *bufio.Reader) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

// halfClosedCallers is the number of callers of each kind.
const halfClosedCallers = 20

// Guards against a success that no endpoint gave, to a caller that closes its side after a whole request.
func TestHalfClosedCallersGetNoInventedSuccess(t *testing.T) {
	cl := newCluster(t, clusterConfig{entries: 1, engines: []engine.Config{fastEngine()}, services: []service.Config{{}}})
	addr := cl.entries[0].addr
	for i := range halfClosedCallers {
		resp, text, err := sendHalfClosed(t, addr, "/v1/generate", fmt.Sprintf(`{"model":"m","prompt":"lot %d","max_tokens":20,"seed":7,"class":"question"}`, i))
		if err == nil && resp.StatusCode == http.StatusOK {
			assert.Assert(t, strings.Contains(text, "event: end") || strings.Contains(text, "event: error"), "%q", text)
		}
		resp, text, err = sendHalfClosed(t, addr, "/v1/services/lantern/balance", "{}")
		if err == nil && resp.StatusCode == http.StatusOK {
			assert.Equal(t, resp.Header.Get("Run"), "ran")
			assert.Assert(t, text != "")
		}
		key := fmt.Sprintf("half-%d", i)
		resp, text, err = sendHalfClosed(t, addr, "/v1/services/lantern/topup", "{}",
			"Idempotency-Key: "+key, fmt.Sprintf("Key-Issued-Ms: %d", time.Now().UnixMilli()))
		if err == nil {
			assert.Assert(t, text != "")
			cl.assertOutcome(t, addr, key, resp.Header.Get("Run"))
		}
	}
}

// outcomeTime is the time after which the outcome of a commit is final.
const outcomeTime = 100 * time.Millisecond

// assertOutcome checks what a caller was told of a commit against its outcome, once that is final.
func (cl *cluster) assertOutcome(t *testing.T, addr, key, told string) {
	t.Helper()
	time.Sleep(outcomeTime)
	resp, err := cl.client.Get("http://" + addr + "/v1/commits/" + key)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	switch told {
	case "ran":
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	case "not-run":
		assert.Assert(t, resp.StatusCode != http.StatusOK, "%s", text)
	default:
		assert.Equal(t, told, "unknown")
	}
}

// Guards against a fault of a handler that ends a request with neither an answer nor a trace.
func TestAFaultOfAHandlerIsRefusedAndCounted(t *testing.T) {
	cl := newCluster(t, clusterConfig{entries: 1, engines: []engine.Config{fastEngine()}, onProvisioned: func(u *Unit) {
		u.forwarder.Next = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("fault") })
	}})
	a, err := cl.post(cl.ctx, cl.entries[0].addr, "/v1/services/lantern/balance", "{}", map[string]string{"Request-Id": "r-1"})
	assert.NilError(t, err)
	assert.Equal(t, a.status, http.StatusInternalServerError)
	assert.Equal(t, a.refusal.Code, 6999)
	assert.Equal(t, a.refusal.Run, "unknown")
	m := cl.entries[0].unit.Metrics().(Metrics)
	assert.Equal(t, m.Servers["callers"].Faults, int64(1))
}
