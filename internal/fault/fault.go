// Package fault logs the panics that the product recovers from.
package fault

import (
	"runtime/debug"

	"github.com/apex/log"
)

// maxStackBytes bounds the stack in a log line.
const maxStackBytes = 4 << 10

// Log logs a recovered panic with the stack of its goroutine. It is called in the deferred function that has recovered.
func Log(e *log.Entry, fault any, message string) {
	stack := debug.Stack()
	e.WithField("fault", fault).WithField("stack", string(stack[:min(len(stack), maxStackBytes)])).Error(message)
}
