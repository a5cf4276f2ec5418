// Package explain reconstructs the processing of a request from the log lines of one or more VMs:
// the request's own lines in order of time, the recorded state of the endpoints that it was sent to,
// and the line that determined its answer.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Line is a parsed log line.
type Line struct {
	Source string // where the line comes from, such as a file or VM name
	At     time.Time
	Text   string
	fields map[string]string
	order  []string
}

// maxLineBytes bounds the length of a line; no process of this project writes longer ones.
const maxLineBytes = 1 << 20

// Read returns the log lines of r. Lines that are not key=value lines with a timestamp are skipped,
// because other programs may write to the same file.
func Read(source string, r io.Reader) ([]Line, error) {
	var lines []Line
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		if l, ok := parse(source, sc.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, sc.Err()
}

func parse(source, text string) (Line, bool) {
	if at := strings.Index(text, "timestamp="); at > 0 {
		// A collector of the logs of several VMs prefixes each line with the VM's name.
		if before := strings.Fields(text[:at]); len(before) > 0 {
			source = before[len(before)-1]
		}
		text = text[at:]
	}
	l := Line{Source: source, Text: text, fields: map[string]string{}}
	d := logfmt.NewDecoder(strings.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			key := string(d.Key())
			l.fields[key] = string(d.Value())
			l.order = append(l.order, key)
		}
	}
	var err error
	l.At, err = time.Parse(time.RFC3339Nano, l.fields["timestamp"])
	return l, d.Err() == nil && err == nil
}

// Trace holds the log lines that explain the answer to a request.
type Trace struct {
	ID           string
	RequestLines []Line // the request's lines
	States       []Line // newest lines before its end about its endpoints, the configuration and the keyed logs
	Decisive     *Line  // the line that determined its answer, nil if no line names the request
}

// Find returns the trace of the request with the given id.
func Find(lines []Line, id string) Trace {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	t := Trace{ID: id}
	for _, l := range lines {
		if l.fields["id"] == id {
			t.RequestLines = append(t.RequestLines, l)
		}
	}
	if len(t.RequestLines) == 0 {
		return t
	}
	t.Decisive = &t.RequestLines[len(t.RequestLines)-1]
	t.States = recordedStates(lines, t.Decisive)
	return t
}

// recordedStates returns the newest lines from the source of last, not later than last, about each
// endpoint that last names, the configuration and each keyed log.
func recordedStates(lines []Line, last *Line) []Line {
	attempted := endpoints(last)
	newest := map[string]Line{}
	for _, l := range lines {
		if l.Source != last.Source || l.At.After(last.At) {
			continue
		}
		switch e := l.fields["endpoint"]; {
		case attempted[e]:
			newest["endpoint "+e] = l
		case l.fields["message"] == "configuration in force":
			newest["configuration"] = l
		case strings.HasPrefix(l.fields["message"], "keyed log"):
			newest["log "+l.fields["log"]] = l
		}
	}
	out := make([]Line, 0, len(newest))
	for _, l := range newest {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Line) int { return a.At.Compare(b.At) })
	return out
}

// endpoints returns the endpoints of the attempts that a line lists.
func endpoints(l *Line) map[string]bool {
	attempted := map[string]bool{}
	for _, key := range l.order {
		if strings.HasPrefix(key, "attempt") {
			e, _, _ := strings.Cut(l.fields[key], ":")
			attempted[e] = true
		}
	}
	return attempted
}

// reasons explains each outcome that the last line of a request can name.
var reasons = map[string]string{
	"answered": "the whole answer was passed on",
	"not-sent": "no byte of it reached an endpoint",
	"not-run":  "each endpoint that it reached said that it didn't run it",
	"failed":   "the endpoint ran it and answered a failure of its own",
	"lost":     "it was sent, and the answer was lost or spoiled: it may have run",
	"gone":     "its caller left, or its time was over",
	"aborted":  "the shutdown of its VM ended before the answer did",
	"refused":  "it was given up before it was sent: engines could not have served it in time",
}

// Write prints the trace.
func (t Trace) Write(w io.Writer) error {
	if t.Decisive == nil {
		_, err := fmt.Fprintf(w, "no line names %s\n", t.ID)
		return err
	}
	var b strings.Builder
	end := t.Decisive.At
	b.WriteString("believed at its end:\n")
	for _, l := range t.States {
		fmt.Fprintf(&b, "  %s  %s\n", formatAgo(end.Sub(l.At)), l.Text)
	}
	b.WriteString("the request:\n")
	for _, l := range t.RequestLines {
		fmt.Fprintf(&b, "  %s  %s: %s\n", l.At.Format("15:04:05.000"), l.Source, l.Text)
	}
	f := t.Decisive.fields
	fmt.Fprintf(&b, "decided by: %s", f["message"])
	if reason := reasons[f["outcome"]]; reason != "" {
		fmt.Fprintf(&b, ", outcome %s: %s", f["outcome"], reason)
	}
	if f["code"] != "" {
		fmt.Fprintf(&b, "; code %s", f["code"])
	}
	if f["why"] != "" {
		fmt.Fprintf(&b, "; %s", f["why"])
	}
	b.WriteString("\n")
	_, err := io.WriteString(w, b.String())
	return err
}

func formatAgo(d time.Duration) string { return fmt.Sprintf("%8.3f s before", d.Seconds()) }
