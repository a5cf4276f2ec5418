package backpressure

import (
	"math"
	"strconv"
	"strings"
)

// Notice is what an endpoint says, with an answer, of the work that it takes.
type Notice struct {
	Limited bool
	Limit   float64 // requests a second from all VMs together, if Limited
	Leaving bool    // it wants no new requests, of any VM
	// Unreadable tells that the endpoint said something that can't be read: the limit that
	// it named before still holds.
	Unreadable bool
}

// Fields are the texts by which an endpoint gives notice, empty ones if there are none.
type Fields struct {
	Limit   string // a decimal number of requests a second
	Leaving string // 1 if it leaves
}

// Parse reads an endpoint's notice.
func Parse(f Fields) Notice {
	n := parseLimit(f.Limit)
	if f.Leaving = strings.TrimSpace(f.Leaving); f.Leaving == "" {
		return n
	}
	leaving, err := strconv.ParseBool(f.Leaving)
	n.Leaving = leaving
	n.Unreadable = n.Unreadable || err != nil
	return n
}

// Valid tells whether an endpoint can mean such a limit.
func Valid(limit float64) bool { return limit >= 0 && !math.IsInf(limit, 1) }

// parseLimit reads the decimal number of requests a second that an endpoint names. An
// empty text names no limit.
func parseLimit(text string) Notice {
	text = strings.TrimSpace(text)
	if text == "" {
		return Notice{}
	}
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || !Valid(limit) {
		return Notice{Unreadable: true}
	}
	return Notice{Limited: true, Limit: limit}
}
