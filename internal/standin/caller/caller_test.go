package caller

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"fescuestand/internal/standin/oracle"
)

// entry is a fake entry process with one kind of misbehaviour.
type entry struct {
	mode  string
	tries int
}

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/addresses" {
		_, _ = fmt.Fprintf(w, `{"ttl_ms":1000,"addresses":[{"address":%q,"zone":"z"}]}`, r.Host)
		return
	}
	e.tries++
	switch {
	case e.mode == "refuses once" && e.tries == 1, e.mode == "refuses":
		writeRefusal(w, `{"code":2001,"name":"queue-full","run":"not-run","retry_after_ms":10}`)
		return
	case e.mode == "unknown":
		writeRefusal(w, `{"code":4001,"name":"commit-unknown","run":"unknown"}`)
		return
	}
	var body generateBody
	_ = json.NewDecoder(r.Body).Decode(&body)
	e.stream(w, &body)
}

func writeRefusal(w http.ResponseWriter, body string) {
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, body)
}

func (e *entry) stream(w http.ResponseWriter, body *generateBody) {
	c := oracle.New(body.Model, body.Version, "", []byte(body.Prompt), body.Seed)
	for pos := range body.MaxTokens {
		text := string(c.Token(pos))
		if e.mode == "wrong byte" && pos == 3 {
			text = "x" + text[1:]
		}
		_, _ = fmt.Fprintf(w, "event: token\ndata: {\"pos\":%d,\"text\":%q}\n\n", pos, text)
		if e.mode == "cut" && pos == 3 {
			return
		}
	}
	all := c.Text(0, body.MaxTokens)
	if e.mode == "late" {
		time.Sleep(250 * time.Millisecond)
	}
	_, _ = fmt.Fprintf(w, "event: end\ndata: {\"code\":0,\"run\":\"ran\",\"tokens\":%d,\"bytes\":%d,\"xxh64\":\"%016x\"}\n\n",
		body.MaxTokens, len(all), xxhash.Sum64(all))
}

func TestEveryEndingIsCountedAsWhatItIs(t *testing.T) {
	tests := []struct {
		mode string
		want Kind
		good bool
	}{
		{"whole", Kind{OnTime: 1}, true},
		{"late", Kind{Late: 1}, false},
		{"wrong byte", Kind{Wrong: 1}, false},
		{"cut", Kind{Cut: 1}, false},
		{"refuses once", Kind{OnTime: 1}, true},
		{"refuses", Kind{Refused: map[string]int{"2001 queue-full": 1}}, false},
		{"unknown", Kind{Unknown: map[string]int{"4001 commit-unknown": 1}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.mode, func(t *testing.T) {
			s := httptest.NewServer(&entry{mode: tt.mode})
			defer s.Close()
			rep := Run(t.Context(), &Config{
				Entries: []string{s.Listener.Addr().String()}, For: time.Second, Requests: 1, Rate: 100,
				Model: "m", Version: "1", Return: true, Resend: false,
				Short: Class{"question", 20, 200 * time.Millisecond}, Long: Class{"draft", 20, time.Second},
			})
			assert.Equal(t, len(rep.Kinds), 1)
			k := rep.Kinds[0]
			assert.Equal(t, k.OnTime, tt.want.OnTime, "%+v", rep)
			assert.Equal(t, k.Late, tt.want.Late)
			assert.Equal(t, k.Wrong, tt.want.Wrong)
			assert.Equal(t, k.Cut, tt.want.Cut)
			assert.Equal(t, sumOf(k.Refused), sumOf(tt.want.Refused))
			assert.Equal(t, sumOf(k.Unknown), sumOf(tt.want.Unknown))
			assert.Equal(t, rep.Good(true), tt.good)
		})
	}
}

func TestMixDependsOnSeedAndTimeOnly(t *testing.T) {
	cfg := &Config{
		Seed: 5, Workspaces: 3, LongPrefixBlocks: 1, LongShareLow: 0, LongShareHigh: 1, Period: 10 * time.Second,
		Short: Class{MaxTokens: 10}, Long: Class{MaxTokens: 10},
	}
	assert.Equal(t, cfg.request(1, 0).kind, kindShort)
	long := cfg.request(1, 6*time.Second)
	assert.Equal(t, long.kind, kindLong)
	assert.Equal(t, long.prompt, cfg.request(1, 7*time.Second).prompt)
}
