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

const maxEventLineBytes = 1 << 20

var (
	errCut   = errors.New("answer was cut off")
	errWrong = errors.New("answer is wrong")
)

// refusal is an error answer of the system.
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

// streamTimes holds the time to the first token and the times between tokens.
type streamTimes struct {
	first   time.Duration
	between []time.Duration
}

// streamCheck compares a stream with the expected answer.
type streamCheck struct {
	want        oracle.Completion
	maxTokens   int
	startedAt   time.Time
	lastTokenAt time.Time
	nextPos     int
	bytes       int
	sum         *xxhash.Digest
	times       streamTimes
}

// newStreamCheck measures the first token from startedAt, when the request was first sent.
func newStreamCheck(c *Config, r *request, startedAt time.Time) *streamCheck {
	return &streamCheck{
		want:      oracle.New(c.Model, c.Version, c.Adapter, []byte(r.prompt), r.seed),
		maxTokens: r.maxTokens,
		startedAt: startedAt,
		sum:       xxhash.New(),
	}
}

// readStream checks the whole stream. It returns nil only if every byte is correct and the end event
// arrived.
func (s *streamCheck) readStream(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventLineBytes)
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
		done, err := s.handleEvent(event, data)
		if done || err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%w after %d tokens: %w", errCut, s.nextPos, err)
	}
	return fmt.Errorf("%w after %d tokens", errCut, s.nextPos)
}

func (s *streamCheck) handleEvent(name, data string) (done bool, err error) {
	switch name {
	case "token":
		return false, s.checkToken(data)
	case "end":
		return true, s.checkEnd(data)
	case "error":
		r := &refusal{}
		if err := json.Unmarshal([]byte(data), r); err != nil {
			return true, fmt.Errorf("%w: %w", errWrong, err)
		}
		return true, r
	}
	return false, nil
}

func (s *streamCheck) checkToken(data string) error {
	var t tokenEvent
	if err := json.Unmarshal([]byte(data), &t); err != nil {
		return fmt.Errorf("%w: %w", errWrong, err)
	}
	if t.Pos != s.nextPos {
		return fmt.Errorf("%w: got position %d, want %d", errWrong, t.Pos, s.nextPos)
	}
	if want := string(s.want.Token(t.Pos)); t.Text != want {
		return fmt.Errorf("%w: position %d: got %q, want %q", errWrong, t.Pos, t.Text, want)
	}
	now := time.Now()
	if s.nextPos == 0 {
		s.times.first = now.Sub(s.startedAt)
	} else {
		s.times.between = append(s.times.between, now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
	s.nextPos++
	s.bytes += len(t.Text)
	_, _ = s.sum.WriteString(t.Text)
	return nil
}

func (s *streamCheck) checkEnd(data string) error {
	var e endEvent
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return fmt.Errorf("%w: %w", errWrong, err)
	}
	sum, err := strconv.ParseUint(e.Sum, 16, 64)
	if err != nil {
		return fmt.Errorf("%w: malformed checksum %q", errWrong, e.Sum)
	}
	if s.nextPos != s.maxTokens || e.Tokens != s.nextPos || e.Bytes != s.bytes || sum != s.sum.Sum64() || e.Code != 0 {
		return fmt.Errorf("%w: end event %+v after %d of %d tokens", errWrong, e, s.nextPos, s.maxTokens)
	}
	return nil
}
