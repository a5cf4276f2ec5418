package service

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver"
	"fescuestand/internal/standin/oracle"
)

func start(t *testing.T) (*httptest.Server, driver.Service) {
	t.Helper()
	s := httptest.NewServer(New(Config{Operations: []string{"commit"}, ServiceTime: time.Millisecond}).Handler())
	t.Cleanup(s.Close)
	open, err := driver.Services.Get(httpdriver.Name)
	assert.NilError(t, err)
	d, err := open(driver.Target{Address: s.Listener.Addr().String()})
	assert.NilError(t, err)
	return s, d
}

func TestFaultErrorsMatchExecutionCounts(t *testing.T) {
	tests := []struct {
		fault string
		want  error
		runs  int
	}{
		{"", nil, 1},
		{FaultLostAnswer, driver.ErrConnectionLost, 1},
		{FaultCrossed, driver.ErrBadAnswer, 1},
		{FaultFail, driver.ErrFailed, 1},
		{FaultRefuse, driver.ErrRefused, 0},
	}
	for _, tt := range tests {
		t.Run("fault "+tt.fault, func(t *testing.T) {
			s, d := start(t)
			if tt.fault != "" {
				resp, err := http.Post(s.URL+"/fault", "", strings.NewReader(`{"name":"`+tt.fault+`","count":1}`))
				assert.NilError(t, err)
				_ = resp.Body.Close()
			}
			call := &driver.Call{Attempt: "a1", Operation: "commit", Key: "k", Body: []byte("lot 7")}
			body, err := d.Call(t.Context(), call)
			if tt.want == nil {
				assert.NilError(t, err)
				assert.DeepEqual(t, body, oracle.Answer("commit", call.Body))
			} else {
				assert.ErrorIs(t, err, tt.want)
			}
			assert.Equal(t, executions(t, s, "k"), tt.runs)
		})
	}
}

func TestDuplicateExecutionIsCounted(t *testing.T) {
	s, d := start(t)
	for _, attempt := range []string{"a1", "a2"} {
		_, err := d.Call(t.Context(), &driver.Call{Attempt: attempt, Operation: "commit", Key: "k"})
		assert.NilError(t, err)
	}
	assert.Equal(t, executions(t, s, "k"), 2)
}

func executions(t *testing.T, s *httptest.Server, key string) int {
	t.Helper()
	resp, err := http.Get(s.URL + "/executions")
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var e Executions
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&e))
	if e.Keys[key] == nil {
		return 0
	}
	return e.Keys[key].Count
}
