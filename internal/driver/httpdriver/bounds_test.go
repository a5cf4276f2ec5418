package httpdriver

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/driver"
)

// Guards against an engine whose answer to an order has no end: its header was read without a bound until the order's
// time was over, and a failure cut at the bound could count as whole.
func TestAnswersToOrdersWithoutEndAreErrors(t *testing.T) {
	for name, tc := range map[string]struct {
		first, again string
		want         error
	}{
		"header":  {"HTTP/1.1 202 X\r\nX-A: ", strings.Repeat("a", 64<<10), driver.ErrConnectionLost},
		"failure": {"HTTP/1.1 409 X\r\n\r\n" + `{"name":"x"}`, strings.Repeat(" ", 64<<10), driver.ErrBadAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
				nc, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, err = io.WriteString(nc, tc.first)
				for err == nil {
					_, err = io.WriteString(nc, tc.again)
				}
				_ = nc.Close()
			})
			err := sendOrder(t.Context(), c, driver.Order{ID: "o1"}, func() error { return nil })
			assert.ErrorIs(t, err, tc.want)
			assert.Assert(t, !strings.Contains(err.Error(), context.DeadlineExceeded.Error()) && !strings.Contains(err.Error(), "timeout"), "%v", err)
		})
	}
}
