package httpdriver_test

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/driver"
)

// Guards against a completion that counts as not run, and is sent once more, as its engine has answered with the refusal
// of another attempt.
func TestRefusalOfAnotherAttemptIsNoAnswerOfAnEngine(t *testing.T) {
	e := openEngine(t, startServer(t, http.StatusServiceUnavailable, "a2", `{"name":"queue-full","ran":false}`))
	req := &driver.GenerateRequest{Attempt: "a1", Model: "m"}
	for name, send := range map[string]func(context.Context) error{
		"generate": func(ctx context.Context) error { _, err := e.Generate(ctx, req); return err },
		"prefill":  func(ctx context.Context) error { _, err := e.Prefill(ctx, req); return err },
		"export":   func(ctx context.Context) error { _, err := e.Export(ctx, req.Attempt); return err },
	} {
		err := send(t.Context())
		assert.Check(t, errors.Is(err, driver.ErrBadAnswer), "%s: %v", name, err)
	}
}
