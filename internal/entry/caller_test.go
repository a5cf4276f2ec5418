package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gotest.tools/v3/assert"
)

// answer is the answer that a caller received.
type answer struct {
	status   int
	header   http.Header
	body     string
	text     string // text of a stream's tokens
	complete bool   // the stream's end event was received
	refusal  struct {
		Code int
		Name string
		Run  string
	}
}

func (cl *cluster) post(ctx context.Context, addr, path, body string, header map[string]string) (*answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	assert.NilError(cl.t, err)
	req.Header.Set("Deadline-Ms", "20000")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := cl.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	a := &answer{status: resp.StatusCode, header: resp.Header}
	if resp.Header.Get("Content-Type") == "text/event-stream" {
		return a, a.readEvents(resp.Body)
	}
	b, err := io.ReadAll(resp.Body)
	a.body = string(b)
	if resp.StatusCode != http.StatusOK {
		_ = json.Unmarshal(b, &a.refusal)
	}
	return a, err
}

func (a *answer) readEvents(r io.Reader) error {
	lines := bufio.NewScanner(r)
	event, next := "", 0
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "event":
			event = value
		case name == "data" && event == "token":
			var t struct {
				Pos  int
				Text string
			}
			if err := json.Unmarshal([]byte(value), &t); err != nil {
				return err
			}
			if t.Pos != next {
				return fmt.Errorf("token %d where %d is due", t.Pos, next)
			}
			next++
			a.text += t.Text
		case name == "data" && event == "end":
			a.complete = true
		case name == "data" && event == "error":
			_ = json.Unmarshal([]byte(value), &a.refusal)
		}
	}
	return lines.Err()
}

func (cl *cluster) generate(addr, prompt string, tokens int) (*answer, error) {
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"seed":7,"class":"question"}`, prompt, tokens)
	return cl.post(cl.ctx, addr, "/v1/generate", body, nil)
}

func (cl *cluster) topup(addr, key, body string, resend bool, issued time.Time) (*answer, error) {
	h := map[string]string{"Idempotency-Key": key, "Key-Issued-Ms": strconv.FormatInt(issued.UnixMilli(), 10)}
	if resend {
		h["Resend"] = "1"
	}
	return cl.post(cl.ctx, addr, "/v1/services/lantern/topup", body, h)
}

// fault injects a fault into a fake.
func (cl *cluster) fault(addr, body string) {
	resp, err := http.Post("http://"+addr+"/fault", "application/json", strings.NewReader(body))
	assert.NilError(cl.t, err)
	_ = resp.Body.Close()
	assert.Equal(cl.t, resp.StatusCode, http.StatusNoContent)
}
