package entry

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/standin/engine"
	"fescuestand/internal/standin/service"
)

// example is one request shown on the callers' page, with the answer shown for it.
type example struct{ request, answer string }

func readExamples(t *testing.T, file string) []example {
	page, err := os.ReadFile(file)
	assert.NilError(t, err)
	blocks := regexp.MustCompile("(?s)```http (request|answer)\n(.*?)```").FindAllStringSubmatch(string(page), -1)
	var out []example
	for _, b := range blocks {
		if b[1] == "request" {
			out = append(out, example{request: b[2]})
			continue
		}
		out[len(out)-1].answer = b[2]
	}
	return out
}

// Every example request of the callers' page must give the answer shown there.
func TestCallersPageExamples(t *testing.T) {
	cl := newCluster(t, clusterConfig{entries: 1, engines: []engine.Config{fastEngine()}, services: []service.Config{{}}})
	now := strconv.FormatInt(time.Now().UnixMilli(), 10)
	examples := readExamples(t, "../../docs/CALLERS.md")
	assert.Assert(t, len(examples) >= 6)
	for _, ex := range examples {
		checkExample(t, cl, strings.ReplaceAll(ex.request, "NOW", now), ex.answer)
	}
}

func checkExample(t *testing.T, cl *cluster, request, answer string) {
	head, body, _ := strings.Cut(request, "\n\n")
	body = strings.TrimSuffix(body, "\n")
	text := fmt.Sprintf("%s\nHost: x\nContent-Length: %d\n\n%s", head, len(body), body)
	req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	assert.NilError(t, err, request)
	req.RequestURI, req.URL.Scheme, req.URL.Host = "", "http", cl.entries[0].addr
	resp, err := cl.client.Do(req)
	assert.NilError(t, err)
	got, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())

	wantHead, wantBody, _ := strings.Cut(answer, "\n\n")
	for i, line := range strings.Split(wantHead, "\n") {
		if i == 0 {
			assert.Equal(t, line, fmt.Sprintf("HTTP/1.1 %d", resp.StatusCode), "%s\n%s", request, got)
			continue
		}
		name, value, _ := strings.Cut(line, ": ")
		assert.Equal(t, resp.Header.Get(name), value, "%s\n%s", request, got)
	}
	pattern := strings.ReplaceAll(regexp.QuoteMeta(strings.TrimSpace(wantBody)), "…", ".*")
	assert.Assert(t, regexp.MustCompile("^"+pattern+"$").MatchString(strings.TrimSpace(string(got))),
		"%s\nwanted %s\ngot %s", request, wantBody, got)
}
