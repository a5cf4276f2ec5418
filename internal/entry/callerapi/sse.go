package callerapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/code"
	"fescuestand/internal/driver"
)

// writeTimeout is how long a caller may read nothing of its stream before it counts as
// disconnected. Until then its tokens wait at the engine and occupy one of the engine's slots; no
// memory of this process grows with them.
const writeTimeout = 10 * time.Second

// EndEvent is the data of a stream's last event. A stream without it is incomplete.
type EndEvent struct {
	Code   int      `json:"code"`
	Run    code.Run `json:"run"`
	Tokens int      `json:"tokens"`
	Bytes  int      `json:"bytes"`
	Sum    string   `json:"xxh64"` // checksum of the whole text
}

// eventStream encodes one completion as server-sent events.
type eventStream struct {
	w           http.ResponseWriter
	rc          *http.ResponseController
	buf         []byte
	partialRune []byte // start of a UTF-8 character that continues in the next token
	sum         *xxhash.Digest
	tokens      int
	bytes       int
	started     bool
}

func newEventStream(w http.ResponseWriter) *eventStream {
	return &eventStream{w: w, rc: http.NewResponseController(w), sum: xxhash.New()}
}

// Token implements Sink.
func (s *eventStream) Token(t driver.Token) error {
	text := t.Text
	if len(s.partialRune) > 0 {
		text = append(s.partialRune, text...)
		s.partialRune = nil
	}
	if n := incompleteSuffix(text); n > 0 {
		s.partialRune = append([]byte(nil), text[len(text)-n:]...)
		text = text[:len(text)-n]
	}
	s.buf = append(s.buf, "event: token\ndata: {\"pos\":"...)
	s.buf = strconv.AppendInt(s.buf, int64(t.Pos), 10)
	s.buf = append(s.buf, `,"text":`...)
	s.buf = appendJSON(s.buf, text)
	s.buf = append(s.buf, "}\n\n"...)
	s.addToTotals(text)
	s.tokens++
	return nil
}

func (s *eventStream) addToTotals(text []byte) {
	s.bytes += len(text)
	_, _ = s.sum.Write(text)
}

// Flush implements Sink.
func (s *eventStream) Flush() error {
	if len(s.buf) == 0 {
		return nil
	}
	s.writeHeader()
	// The writer of a forwarded request has no deadlines; the peer that forwarded it bounds the
	// stream.
	_ = s.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := s.w.Write(s.buf)
	if err == nil {
		err = s.rc.Flush()
	}
	s.buf = s.buf[:0]
	if err != nil {
		return code.Wrap(code.CallerGone, err, "writing the stream").WithRun(code.Ran)
	}
	return nil
}

func (s *eventStream) writeHeader() {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

// end sends the end event, which marks the stream as complete.
func (s *eventStream) end() error {
	s.appendEvent("end", EndEvent{
		Code: int(code.OK), Run: code.Ran, Tokens: s.tokens, Bytes: s.bytes,
		Sum: checksumHex(s.sum.Sum64()),
	})
	return s.close()
}

// fail ends a started stream with an error event that says why it is incomplete.
func (s *eventStream) fail(err error) {
	s.appendEvent("error", newRefusal(err))
	_ = s.close()
}

// close sends the last event and clears the write deadline, which the next request on the
// connection must not inherit.
func (s *eventStream) close() error {
	err := s.Flush()
	_ = s.rc.SetWriteDeadline(time.Time{})
	return err
}

func (s *eventStream) appendEvent(name string, data any) {
	b, _ := json.Marshal(data) // strings and numbers always encode
	s.buf = append(s.buf, "event: "...)
	s.buf = append(s.buf, name...)
	s.buf = append(s.buf, "\ndata: "...)
	s.buf = append(s.buf, b...)
	s.buf = append(s.buf, "\n\n"...)
}

func checksumHex(sum uint64) string {
	const digits = 16
	text := strconv.FormatUint(sum, 16)
	for len(text) < digits {
		text = "0" + text
	}
	return text
}

// incompleteSuffix returns the number of bytes at the end of text that begin an incomplete UTF-8
// character. The JSON encoder would replace them.
func incompleteSuffix(text []byte) int {
	for n := 1; n < utf8.UTFMax && n <= len(text); n++ {
		b := text[len(text)-n]
		if utf8.RuneStart(b) {
			if !utf8.FullRune(text[len(text)-n:]) {
				return n
			}
			return 0
		}
	}
	return 0
}

// appendJSON appends text as a JSON string. It copies plain ASCII, the usual case, without an
// allocation.
func appendJSON(dst, text []byte) []byte {
	for _, b := range text {
		if b < ' ' || b >= utf8.RuneSelf || b == '"' || b == '\\' {
			quoted, _ := json.Marshal(string(text))
			return append(dst, quoted...)
		}
	}
	dst = append(dst, '"')
	dst = append(dst, text...)
	return append(dst, '"')
}
