package caller

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/standin/oracle"
)

const maxEventLine = 1 << 20

var (
	errCut   = errors.New("answer is cut")
	errWrong = errors.New("answer is wrong")
)

// refusal is the system's error answer.
type refusal struct {
	Code         int    `json:"code"`
	Name         string `json:"name"`
	Run          string `json:"run"`
	Detail       string `json:"detail"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

func (r *refusal) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", r.Code, r.Name, r.Run, r.Detail)
}

type tokenEvent struct {
	Pos  int    `json:"pos"`
	Text string `json:"text"`
}

type endEvent struct {
	Code   int    `json:"code"`
	Run    string `json:"run"`
	Tokens int    `json:"tokens"`
	Bytes  int    `json:"bytes"`
	Sum    string `json:"xxh64"`
}

// streamTimes are when tokens came.
type streamTimes struct {
	first   time.Duration
	between []time.Duration
}

// streamCheck compares a stream with the answer that the request must get.
type streamCheck struct {
	want      oracle.Completion
	maxTokens int
	begun     time.Time
	last      time.Time
	next      int
	bytes     int
	sum       *xxhash.Digest
	times     streamTimes
}

// newStreamCheck counts times from begun, when the caller first asked.
func newStreamCheck(c *Config, r *request, begun time.Time) *streamCheck {
	return &streamCheck{
		want:      oracle.New(c.Model, c.Version, c.Adapter, []byte(r.prompt), r.seed),
		maxTokens: r.maxTokens,
		begun:     begun,
		sum:       xxhash.New(),
	}
}

// read checks the whole stream. It returns nil only if every byte is right and
// the end event came.
func (s *streamCheck) read(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventLine)
	event := ""
	for lines.Scan() {
		line := lines.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		done, err := s.event(event, data)
		if done || err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%w after %d tokens: %w", errCut, s.next, err)
	}
	return fmt.Errorf("%w after %d tokens", errCut, s.next)
}

func (s *streamCheck) event(name, data string) (done bool, err error) {
	switch name {
	case "token":
		return false, s.token(data)
	case "end":
		return true, s.end(data)
	case "error":
		r := &refusal{}
		if err := json.Unmarshal([]byte(data), r); err != nil {
			return true, fmt.Errorf("%w: %w", errWrong, err)
		}
		return true, r
	}
	return false, nil
}

func (s *streamCheck) token(data string) error {
	var t tokenEvent
	if err := json.Unmarshal([]byte(data), &t); err != nil {
		return fmt.Errorf("%w: %w", errWrong, err)
	}
	if t.Pos != s.next {
		return fmt.Errorf("%w: position %d where %d is due", errWrong, t.Pos, s.next)
	}
	if want := string(s.want.Token(t.Pos)); t.Text != want {
		return fmt.Errorf("%w: position %d is %q, must be %q", errWrong, t.Pos, t.Text, want)
	}
	now := time.Now()
	if s.next == 0 {
		s.times.first = now.Sub(s.begun)
	} else {
		s.times.between = append(s.times.between, now.Sub(s.last))
	}
	s.last = now
	s.next++
	s.bytes += len(t.Text)
	_, _ = s.sum.WriteString(t.Text)
	return nil
}

func (s *streamCheck) end(data string) error {
	var e endEvent
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return fmt.Errorf("%w: %w", errWrong, err)
	}
	sum, err := strconv.ParseUint(e.Sum, 16, 64)
	if err != nil {
		return fmt.Errorf("%w: checksum %q", errWrong, e.Sum)
	}
	if s.next != s.maxTokens || e.Tokens != s.next || e.Bytes != s.bytes || sum != s.sum.Sum64() || e.Code != 0 {
		return fmt.Errorf("%w: end event %+v after %d of %d tokens", errWrong, e, s.next, s.maxTokens)
	}
	return nil
}
