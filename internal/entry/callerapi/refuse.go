package callerapi

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"fescuestand/internal/code"
)

// Refusal is the body of every error answer, and the data of a stream's error event.
type Refusal struct {
	Code         int       `json:"code"`
	Name         string    `json:"name"`
	Run          code.Run  `json:"run"`
	Detail       string    `json:"detail,omitempty"`
	RetryAfterMS int64     `json:"retry_after_ms"`
	Addresses    []Address `json:"addresses,omitempty"` // other VMs to send the request to
}

// defaultRetryAfter is the retry delay sent with a retryable code if the error has none: a caller
// that retries immediately would find the same state.
const defaultRetryAfter = 500 * time.Millisecond

func newRefusal(err error) *Refusal {
	e := code.Of(err)
	r := &Refusal{Code: int(e.Code), Name: e.Code.String(), Run: e.Run, Detail: e.Detail}
	if e.Err != nil {
		r.Detail += ": " + e.Err.Error()
	}
	switch {
	case e.RetryAfter > 0:
		r.RetryAfterMS = max(e.RetryAfter.Milliseconds(), 1)
	case e.Code.Info().Retryable:
		r.RetryAfterMS = defaultRetryAfter.Milliseconds()
	}
	return r
}

// writeRefusal writes err as the complete answer.
func writeRefusal(w http.ResponseWriter, err error, alternatives []Address) {
	r := newRefusal(err)
	r.Addresses = alternatives
	body, _ := json.Marshal(r) // strings and numbers always encode
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderCode, strconv.Itoa(r.Code))
	h.Set(HeaderRun, string(r.Run))
	if r.RetryAfterMS > 0 {
		seconds := math.Ceil(float64(r.RetryAfterMS) / 1000)
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(code.Code(r.Code).Info().Status)
	writeBody(w, body)
}

// writeBody writes a complete answer and bounds how long the caller may take to read it.
func writeBody(w http.ResponseWriter, body []byte) {
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = w.Write(body)
	_ = rc.Flush()
	_ = rc.SetWriteDeadline(time.Time{})
}
