package httpserver

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a refusal of a body over the limit that comes only when the caller has sent the rest.
func TestBodyOverTheLimitIsRefusedAtOnce(t *testing.T) {
	s := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(LimitBody(w, r.Body, 10))
		var large *http.MaxBytesError
		assert.Check(t, errors.As(err, &large))
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	}), nil, Options{})
	for _, framing := range []string{"Content-Length: 100000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n40\r\n"} {
		c, answers := dial(t, s)
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(maxDrainTime)))
		sendText(t, c, "POST / HTTP/1.1\r\nHost: h\r\n"+framing+strings.Repeat("x", 20))
		resp, err := http.ReadResponse(answers, nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
	}
}
