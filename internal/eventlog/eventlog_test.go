package eventlog

import (
	"bytes"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"gotest.tools/v3/assert"
)

// buffer is a bytes.Buffer that is safe for concurrent use.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func TestEntriesAreWrittenAsKeyValueLines(t *testing.T) {
	var out buffer
	h := New(&out)
	l := &log.Logger{Handler: h, Level: log.InfoLevel}
	l.WithField("id", "9c").WithField("why", "two words").Info("request ends")
	h.Flush(time.Second)
	assert.Assert(t, strings.Contains(out.String(), `message="request ends" id=9c why="two words"`), out.String())
}

// Guards against requests that block on the log: each request writes a line, and a reader of the
// log that stops reading would block all of them.
func TestBlockedReaderDoesNotBlockLogging(t *testing.T) {
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	defer func() { _ = r.Close(); _ = w.Close() }()
	h := New(w)
	l := &log.Logger{Handler: h, Level: log.InfoLevel}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * queueLines {
			l.WithField("text", strings.Repeat("a", 100)).Info("event")
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("logging blocks on the reader of the log")
	}
	assert.Assert(t, h.Dropped() > 0)
}

// Guards against a log that uses too much CPU time under overload, when each refused request writes
// a line.
func TestLogRateIsLimited(t *testing.T) {
	var out buffer
	h := New(&out)
	l := &log.Logger{Handler: h, Level: log.InfoLevel}
	for range 3000 {
		l.Info("flood")
	}
	h.Flush(2 * time.Second)
	time.Sleep(10 * time.Millisecond)
	l.Warn("after")
	h.Flush(2 * time.Second)
	lines := strings.Count(out.String(), "flood")
	assert.Assert(t, lines >= burstLines && lines < 2*burstLines, "%d lines", lines)
	assert.Assert(t, strings.Contains(out.String(), `message="lines left out" count=`))
	assert.Assert(t, strings.Contains(out.String(), "after"), "a warning is written despite the rate limit")
}

func BenchmarkLine(b *testing.B) {
	h := New(&buffer{})
	l := &log.Logger{Handler: h, Level: log.InfoLevel}
	for b.Loop() {
		l.WithField("id", "9c41d07be2a35f68").WithField("route", "r").WithField("ms", 12).Info("request ends")
	}
}
