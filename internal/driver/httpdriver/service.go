package httpdriver

import (
	"context"
	"net/http"
	"net/url"

	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver/httpapi"
)

type service struct{ *client }

var _ driver.Service = (*service)(nil)

// Call implements driver.Service.
func (s *service) Call(ctx context.Context, c *driver.Call) ([]byte, error) {
	h := http.Header{}
	h.Set(httpapi.HeaderAttempt, c.Attempt)
	if c.Key != "" {
		h.Set(httpapi.HeaderKey, c.Key)
	}
	resp, err := s.send(ctx, &request{
		method: http.MethodPost, path: httpapi.PathCall + url.PathEscape(c.Operation), header: h, body: c.Body, attempt: c.Attempt,
	})
	if err != nil {
		return nil, err
	}
	if got := resp.Header.Get(httpapi.HeaderAttempt); got != c.Attempt {
		_ = resp.Body.Close()
		return nil, wrongAttempt(c.Attempt, got)
	}
	return read(resp)
}

// Report implements driver.Service.
func (s *service) Report(ctx context.Context) (driver.LoadReport, error) {
	return s.report(ctx)
}
