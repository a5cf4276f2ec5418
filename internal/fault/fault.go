// Package fault describes the panics that the product recovers from in the log.
package fault

import (
	"runtime/debug"

	"github.com/apex/log"
)

// maxStackBytes bounds the stack in a log line.
const maxStackBytes = 4 << 10

// Entry adds a recovered panic and the stack of its goroutine to a log entry. It is called in the deferred function that
// has recovered.
func Entry(e *log.Entry, fault any) *log.Entry {
	stack := debug.Stack()
	return e.WithField("fault", fault).WithField("stack", string(stack[:min(len(stack), maxStackBytes)]))
}
