package vmlist

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver"
	"fescuestand/internal/driver/httpdriver/httpapi"
)

func TestChangeIsVisibleAfterLag(t *testing.T) {
	s := httptest.NewServer(New([]httpapi.VM{{Name: "vm-1"}}, 100*time.Millisecond).Handler())
	defer s.Close()
	open, err := driver.VMLists.Get(httpdriver.Name)
	assert.NilError(t, err)
	d, err := open(driver.Target{Address: s.Listener.Addr().String()})
	assert.NilError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, s.URL+"/vms",
		strings.NewReader(`{"vms":[{"name":"vm-1","leaving":true}]}`))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	for _, leaving := range []bool{false, true} {
		vms, err := d.List(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, vms[0].Leaving, leaving)
		time.Sleep(150 * time.Millisecond)
	}
}
