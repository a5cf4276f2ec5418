package callerapi

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"fescuestand/internal/code"
)

// Refusal is the body of every answer that is not the wanted one, and the data
// of a stream's error event.
type Refusal struct {
	Code         int       `json:"code"`
	Name         string    `json:"name"`
	Run          code.Run  `json:"run"`
	Detail       string    `json:"detail,omitempty"`
	RetryAfterMS int64     `json:"retry_after_ms"`
	Addresses    []Address `json:"addresses,omitempty"` // where else to ask
}

// defaultRetry is told for a code that allows another try when the refuser
// named no time: a caller that comes back at once would meet the same state.
const defaultRetry = 500 * time.Millisecond

func refusalOf(err error) *Refusal {
	e := code.Of(err)
	r := &Refusal{Code: int(e.Code), Name: e.Code.String(), Run: e.Run, Detail: e.Detail}
	if e.Err != nil {
		r.Detail += ": " + e.Err.Error()
	}
	switch {
	case e.RetryAfter > 0:
		r.RetryAfterMS = max(e.RetryAfter.Milliseconds(), 1)
	case e.Code.Info().Again:
		r.RetryAfterMS = defaultRetry.Milliseconds()
	}
	return r
}

// refuse writes err as the whole answer.
func refuse(w http.ResponseWriter, err error, elsewhere []Address) {
	r := refusalOf(err)
	r.Addresses = elsewhere
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
	writeAll(w, body)
}

// writeAll bounds how long a caller may take to read a whole answer.
func writeAll(w http.ResponseWriter, body []byte) {
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now().Add(writeStall))
	_, _ = w.Write(body)
	_ = rc.Flush()
	_ = rc.SetWriteDeadline(time.Time{})
}
