package gateway

import (
	"github.com/apex/log"

	"fescuestand/internal/fault"
)

// containFault is deferred in work beside that of a request's handler: a fault there would end the process and all
// its requests.
func (x *execution) containFault() {
	if f := recover(); f != nil {
		x.g.metrics.countFault()
		fault.Entry(log.WithField("id", x.call.ID), f).Error("work beside a request failed")
	}
}

// inBackground runs f in a goroutine of its own.
func (x *execution) inBackground(f func()) {
	go func() {
		defer x.containFault()
		f()
	}()
}
