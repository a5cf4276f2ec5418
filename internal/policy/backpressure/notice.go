package backpressure

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Notice is what an endpoint announces, in an answer, about the requests that it accepts.
type Notice struct {
	Limited bool
	Limit   float64 // requests a second from all VMs together, if Limited
	Leaving bool    // the endpoint is draining and accepts no new requests from any VM
	// RetryAfter is how long the VM that receives the answer must not send requests.
	RetryAfter time.Duration
	// Malformed means that the endpoint sent a value that can't be parsed: the limit that it
	// announced before still applies.
	Malformed bool
}

// Fields are the texts of a notice, such as header values. An empty text means that it is absent.
type Fields struct {
	Limit      string    // decimal number of requests a second
	Leaving    string    // 1 if the endpoint is leaving
	RetryAfter string    // seconds or an HTTP date; of refusals only
	Now        time.Time // reference for an HTTP date
}

// Parse parses the notice of an endpoint.
func Parse(f Fields) Notice {
	n := parseLimit(f.Limit)
	retryAfter, ok := parseRetryAfter(f.RetryAfter, f.Now)
	n.RetryAfter = retryAfter
	n.Malformed = n.Malformed || !ok
	if f.Leaving = strings.TrimSpace(f.Leaving); f.Leaving == "" {
		return n
	}
	leaving, err := strconv.ParseBool(f.Leaving)
	n.Leaving = leaving
	n.Malformed = n.Malformed || err != nil
	return n
}

// maxRetryAfter bounds the Retry-After delay that an endpoint may request.
const maxRetryAfter = 24 * time.Hour

// parseRetryAfter parses a Retry-After value, which is a number of seconds or an HTTP date. It returns
// false if the value is malformed.
func parseRetryAfter(text string, now time.Time) (time.Duration, bool) {
	text = strings.TrimSpace(text)
	if text == "" {
		return 0, true
	}
	if at, err := http.ParseTime(text); err == nil {
		return min(max(at.Sub(now), 0), maxRetryAfter), true
	}
	s, err := strconv.ParseFloat(text, 64)
	if err != nil || !(s >= 0) {
		return 0, false
	}
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second)), true
}

// ValidLimit reports whether limit is a possible rate limit: not negative, infinite or NaN.
func ValidLimit(limit float64) bool { return limit >= 0 && !math.IsInf(limit, 1) }

// parseLimit parses a limit, a decimal number of requests a second. An empty text means that there is
// no limit.
func parseLimit(text string) Notice {
	text = strings.TrimSpace(text)
	if text == "" {
		return Notice{}
	}
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || !ValidLimit(limit) {
		return Notice{Malformed: true}
	}
	return Notice{Limited: true, Limit: limit}
}
