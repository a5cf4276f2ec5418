// Package eventlog writes log entries as key=value lines without ever blocking the goroutines that
// log them.
//
// If the reader of the log blocks or entries arrive faster than the rate limit, lines are dropped;
// the next line that is written is preceded by one with the number of dropped lines.
package eventlog

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
)

const (
	// queueLines is the number of lines that are queued for a slow reader: the lines of a few
	// seconds on a busy VM, at most 1 MB.
	queueLines = 4096
	// linesPerSecond limits the rate of lines below warning level. An entry takes about 20 µs of
	// CPU time, so the log uses at most 1% of a core.
	linesPerSecond = 400
	// burstLines is the number of lines that may be written at once after an idle time.
	burstLines = 800
)

// Handler is a handler for package apex/log. It is safe for concurrent use.
type Handler struct {
	queue   chan *log.Entry
	dropped atomic.Int64
}

// New returns a handler that writes to w until the process ends.
func New(w io.Writer) *Handler {
	h := &Handler{queue: make(chan *log.Entry, queueLines)}
	go h.write(context.Background(), w)
	return h
}

// HandleLog implements log.Handler.
func (h *Handler) HandleLog(e *log.Entry) error {
	select {
	case h.queue <- e:
	default:
		h.dropped.Add(1)
	}
	return nil
}

// Dropped returns the number of lines dropped since the last reported number.
func (h *Handler) Dropped() int64 { return h.dropped.Load() }

// write formats queued entries and writes them to w. It runs in a goroutine of its own, so that a
// blocked w blocks no goroutine that logs.
func (h *Handler) write(ctx context.Context, w io.Writer) {
	var buf bytes.Buffer
	format := logfmt.New(&buf)
	tokens, lastRefill := float64(burstLines), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-h.queue:
			now := time.Now()
			tokens = min(tokens+now.Sub(lastRefill).Seconds()*linesPerSecond, burstLines)
			lastRefill = now
			if tokens < 1 && e.Level < log.WarnLevel {
				h.dropped.Add(1)
				continue
			}
			tokens--
			buf.Reset()
			h.reportDropped(&buf)
			// Formatting into a buffer can't fail; lines for a closed w are lost.
			_ = format.HandleLog(e)
			_, _ = w.Write(buf.Bytes())
		}
	}
}

func (h *Handler) reportDropped(buf *bytes.Buffer) {
	n := h.dropped.Swap(0)
	if n == 0 {
		return
	}
	buf.WriteString("level=warn message=\"lines left out\" count=" + strconv.FormatInt(n, 10) + "\n")
}

// Flush waits up to d for the queued entries to be written.
func (h *Handler) Flush(d time.Duration) {
	const interval = 5 * time.Millisecond
	for deadline := time.Now().Add(d); len(h.queue) > 0 && time.Now().Before(deadline); {
		time.Sleep(interval)
	}
	time.Sleep(interval)
}
