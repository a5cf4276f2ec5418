// Package limits tells what the machine leaves a process for its connections.
package limits

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"
)

const (
	// reserved are for files and for what the runtime opens.
	reserved = 200
	// unlimited is what a process without a limit is taken to have.
	unlimited = 1 << 16
)

// Sockets returns the number of descriptors for sockets: those that the process may open by RLIMIT_NOFILE and by its
// settings (zero if they don't say), without those for files.
func Sockets(configured int) int {
	n := unlimited
	var r unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &r) == nil && r.Cur < uint64(n) {
		n = int(r.Cur)
	}
	if configured > 0 {
		n = min(n, configured)
	}
	return max(n-reserved, n/2)
}

// Memory returns the memory limit of the Go runtime in bytes (GOMEMLIMIT), zero if it has none.
func Memory() int64 {
	if n := debug.SetMemoryLimit(-1); n < math.MaxInt64 {
		return n
	}
	return 0
}
