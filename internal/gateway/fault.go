package gateway

import (
	"runtime/debug"

	"github.com/apex/log"
)

// maxStackBytes bounds the stack in a log line.
const maxStackBytes = 4 << 10

// containFault is deferred in work beside that of a request's handler: a fault there would end the process and all
// its requests.
func (x *execution) containFault() {
	fault := recover()
	if fault == nil {
		return
	}
	stack := debug.Stack()
	x.g.metrics.countFault()
	log.WithField("id", x.call.ID).WithField("fault", fault).WithField("stack", string(stack[:min(len(stack), maxStackBytes)])).
		Error("work beside a request failed")
}

// inBackground runs f in a goroutine of its own.
func (x *execution) inBackground(f func()) {
	go func() {
		defer x.containFault()
		f()
	}()
}
