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
	// Unreadable tells that the endpoint said something that can't be read: what it
	// said before still holds.
	Unreadable bool
}

// Valid tells whether an endpoint can mean such a limit.
func Valid(limit float64) bool { return limit >= 0 && !math.IsInf(limit, 1) }

// ParseLimit reads the decimal number of requests a second that an endpoint names. An
// empty text names no limit.
func ParseLimit(text string) Notice {
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
