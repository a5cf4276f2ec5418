package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"fescuestand/internal/code"
	"fescuestand/internal/standin/oracle"
)

const (
	headerRequestID = "Request-Id"
	headerDeadline  = "Deadline-Ms"
	headerCaller    = "Caller"
	headerWorkspace = "Workspace"
	headerKey       = "Idempotency-Key"
	headerIssued    = "Key-Issued-Ms"
	maxAnswerBytes  = 16 << 20
	// lateFactor is the timeout of a request as a multiple of the time left until its deadline. An
	// answer within it counts as late, after it as cut.
	lateFactor = 3
)

var errUnreachable = errors.New("address does not answer")

type generateBody struct {
	Model     string `json:"model"`
	Version   string `json:"version,omitempty"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      uint64 `json:"seed"`
	Class     string `json:"class"`
}

// nonReplayableBody keeps net/http from retrying the request by itself, as it can't rewind the body.
type nonReplayableBody struct{ io.Reader }

func (nonReplayableBody) Close() error { return nil }

// send sends the request once and checks its answer.
func (c *caller) send(ctx context.Context, address string, r *request, startedAt time.Time, remaining time.Duration) (streamTimes, error) {
	ctx, cancel := context.WithTimeout(ctx, lateFactor*remaining)
	defer cancel()
	path, body := c.encode(r)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, nonReplayableBody{bytes.NewReader(body)})
	if err != nil {
		return streamTimes{}, err
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerRequestID, r.id)
	req.Header.Set(headerDeadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	req.Header.Set(headerCaller, r.caller)
	req.Header.Set(headerWorkspace, r.workspace)
	if r.key != "" {
		req.Header.Set(headerKey, r.key)
		req.Header.Set(headerIssued, strconv.FormatInt(startedAt.UnixMilli(), 10))
	}
	check := newStreamCheck(c.cfg, r, startedAt)
	resp, err := c.client.Do(req)
	if err != nil {
		return streamTimes{}, classify(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return streamTimes{}, readRefusal(resp)
	}
	if r.kind == kindShort || r.kind == kindLong {
		err = check.readStream(resp.Body)
		return check.times, err
	}
	return streamTimes{}, c.checkServiceAnswer(resp, r)
}

// encode returns the path and body of a request.
func (c *caller) encode(r *request) (string, []byte) {
	if r.kind == kindLookup || r.kind == kindCommit {
		return "/v1/services/" + c.cfg.Service.Name + "/" + c.cfg.kindName(r.kind), []byte(r.body)
	}
	b, err := json.Marshal(generateBody{
		Model:     c.cfg.Model,
		Version:   c.cfg.Version,
		Adapter:   c.cfg.Adapter,
		Prompt:    r.prompt,
		MaxTokens: r.maxTokens,
		Seed:      r.seed,
		Class:     c.cfg.kindName(r.kind),
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return "/v1/generate", b
}

// classify returns errUnreachable if no connection was established, so that the request was not sent,
// and errCut otherwise.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", errUnreachable, err)
	}
	return fmt.Errorf("%w: %w", errCut, err)
}

func readRefusal(resp *http.Response) error {
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", errCut, err)
	}
	r := &refusal{}
	if err := json.Unmarshal(b, r); err != nil || r.Code == 0 {
		return fmt.Errorf("%w: %s without a result code: %.200s", errWrong, resp.Status, b)
	}
	return r
}

func (c *caller) checkServiceAnswer(resp *http.Response, r *request) error {
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", errCut, err)
	}
	want := oracle.Answer(c.cfg.kindName(r.kind), []byte(r.body))
	if !bytes.Equal(b, want) {
		return fmt.Errorf("%w: got %.200q, want %q", errWrong, b, want)
	}
	if run := resp.Header.Get("Run"); run != string(code.Ran) {
		return fmt.Errorf("%w: header Run is %q", errWrong, run)
	}
	return nil
}
