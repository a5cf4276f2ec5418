package weights

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFetchesShareTheRate(t *testing.T) {
	const size = 4 << 20
	s := httptest.NewServer(New(40<<20, size, nil).Handler())
	defer s.Close()
	startedAt := time.Now()
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			resp, err := http.Post(s.URL+"/fetch?model=m&version=1", "", nil)
			assert.Check(t, err)
			_ = resp.Body.Close()
		})
	}
	wg.Wait()
	// 8 MiB at 40 MiB/s take 200 ms, less the burst of 1 MiB.
	assert.Assert(t, time.Since(startedAt) >= 170*time.Millisecond)
}
