package backpressure

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Notice is what an endpoint says, with an answer, of the work that it takes.
type Notice struct {
	Limited bool
	Limit   float64 // requests a second from all VMs together, if Limited
	Leaving bool    // it wants no new requests, of any VM
	// RetryAfter is how long it wants no requests of the VM that it answers.
	RetryAfter time.Duration
	// Malformed tells that the endpoint said something that can't be read: the limit that
	// it named before still holds.
	Malformed bool
}

// Fields are the texts by which an endpoint gives notice, empty ones if there are none.
type Fields struct {
	Limit      string // a decimal number of requests a second
	Leaving    string // 1 if it leaves
	RetryAfter string // seconds, or a date, after which to come back; of refusals only
	Now        time.Time
}

// Parse reads an endpoint's notice.
func Parse(f Fields) Notice {
	n := parseLimit(f.Limit)
	away, ok := parseAgain(f.RetryAfter, f.Now)
	n.RetryAfter = away
	n.Malformed = n.Malformed || !ok
	if f.Leaving = strings.TrimSpace(f.Leaving); f.Leaving == "" {
		return n
	}
	leaving, err := strconv.ParseBool(f.Leaving)
	n.Leaving = leaving
	n.Malformed = n.Malformed || err != nil
	return n
}

// longestAway bounds the time for which an endpoint may ask.
const longestAway = 24 * time.Hour

// parseAgain reads a time to come back, which may be a date of HTTP. It returns false if that
// can't be read.
func parseAgain(text string, now time.Time) (time.Duration, bool) {
	text = strings.TrimSpace(text)
	if text == "" {
		return 0, true
	}
	if at, err := http.ParseTime(text); err == nil {
		return min(max(at.Sub(now), 0), longestAway), true
	}
	s, err := strconv.ParseFloat(text, 64)
	if err != nil || !(s >= 0) {
		return 0, false
	}
	return time.Duration(min(s, longestAway.Seconds()) * float64(time.Second)), true
}

// ValidLimit tells whether an endpoint can mean such a limit.
func ValidLimit(limit float64) bool { return limit >= 0 && !math.IsInf(limit, 1) }

// parseLimit reads the decimal number of requests a second that an endpoint names. An
// empty text names no limit.
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
