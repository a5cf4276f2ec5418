package logservice

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver"
)

func start(t *testing.T, cfg Config) (*httptest.Server, driver.Log) {
	t.Helper()
	s := httptest.NewServer(New(cfg).Handler())
	t.Cleanup(s.Close)
	return s, open(t, s, "vm-1")
}

func open(t *testing.T, s *httptest.Server, client string) driver.Log {
	t.Helper()
	opener, err := driver.Logs.Get(httpdriver.Name)
	assert.NilError(t, err)
	l, err := opener(driver.Target{
		Address: s.Listener.Addr().String(), Options: map[string]string{"client": client},
	})
	assert.NilError(t, err)
	return l
}

func setFault(t *testing.T, s *httptest.Server, body string) {
	t.Helper()
	resp, err := http.Post(s.URL+"/fault", "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusNoContent)
}

func texts(p driver.Page) string {
	var b strings.Builder
	for _, r := range p.Records {
		b.Write(r.Data)
	}
	return b.String()
}

func TestOffsetsRetentionAndLongPoll(t *testing.T) {
	_, l := start(t, Config{MaxRecords: 2})
	for i, text := range []string{"a", "b", "c"} {
		offset, err := l.Append(t.Context(), "s", []byte(text))
		assert.NilError(t, err)
		assert.Equal(t, offset, uint64(i+1))
	}
	p, err := l.Read(t.Context(), "s", 1, 10, 0)
	assert.ErrorIs(t, err, driver.ErrExpired)
	assert.Equal(t, p.First, uint64(2))
	assert.Equal(t, p.End, uint64(4))
	p, err = l.Read(t.Context(), "s", 2, 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, texts(p), "bc")
	time.AfterFunc(30*time.Millisecond, func() { _, _ = l.Append(t.Context(), "s", []byte("d")) })
	p, err = l.Read(t.Context(), "s", 4, 10, 5*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, texts(p), "d")
}

func TestRetentionByTime(t *testing.T) {
	_, l := start(t, Config{Retention: 20 * time.Millisecond})
	_, err := l.Append(t.Context(), "s", []byte("a"))
	assert.NilError(t, err)
	time.Sleep(40 * time.Millisecond)
	_, err = l.Read(t.Context(), "s", 1, 10, 0)
	assert.ErrorIs(t, err, driver.ErrExpired)
}

func TestAppendsAboveRateLimitAreRefused(t *testing.T) {
	_, l := start(t, Config{AppendsPerSecond: 4})
	_, err := l.Append(t.Context(), "s", nil)
	assert.NilError(t, err)
	_, err = l.Append(t.Context(), "s", nil)
	assert.ErrorIs(t, err, driver.ErrRefused)
}

// Checks the fault behind a publish that takes effect twice: the answer to an append is lost, the
// record is not in the log yet when the operator reads it and publishes again, and it is appended
// after later records.
func TestLateAppendIsOrderedAfterLaterAppends(t *testing.T) {
	s, l := start(t, Config{})
	setFault(t, s, `{"name":"late-append","count":1,"delay":"2s"}`)
	_, err := l.Append(t.Context(), "s", []byte("late"))
	assert.ErrorIs(t, err, driver.ErrConnectionLost)
	_, err = l.Append(t.Context(), "s", []byte("next,"))
	assert.NilError(t, err)
	p, err := l.Read(t.Context(), "s", 1, 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, texts(p), "next,")
	_, err = l.Read(t.Context(), "s", 2, 10, 10*time.Second)
	assert.NilError(t, err)
	p, err = l.Read(t.Context(), "s", 1, 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, texts(p), "next,late")
}

func TestFaults(t *testing.T) {
	s, l := start(t, Config{})
	setFault(t, s, `{"name":"lost-answer","count":1}`)
	_, err := l.Append(t.Context(), "s", []byte("kept"))
	assert.ErrorIs(t, err, driver.ErrConnectionLost)
	setFault(t, s, `{"name":"outage","count":1}`)
	_, err = l.Append(t.Context(), "s", []byte("lost"))
	assert.ErrorIs(t, err, driver.ErrRefused)
	setFault(t, s, `{"name":"cut","client":"vm-1"}`)
	_, err = l.Append(t.Context(), "s", []byte("lost"))
	assert.ErrorIs(t, err, driver.ErrConnectionLost)
	other := open(t, s, "vm-2")
	p, err := other.Read(t.Context(), "s", 1, 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, texts(p), "kept")
	setFault(t, s, `{"name":"stale-read","count":1}`)
	p, err = other.Read(t.Context(), "s", 1, 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, p.End, uint64(1))
}
