package catalog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

// Guards against a stream that goes on at another version since the last endpoint of its own has just gone.
func TestVersionsIncludeThoseThatEndedWithinTheWindow(t *testing.T) {
	c := &clock.Manual{T: clock.Time(time.Hour)}
	s := NewStore(c)
	set := func(id, version string, born int64) {
		s.SetEndpoint(&Endpoint{ID: id, Service: "m", Version: version, Born: born, Sequence: 1})
	}
	set("a", "v1", 1)
	set("b", "v2", 1)
	s.SetEndpoint(&Endpoint{ID: "c", Service: "other", Version: "v9"})
	assert.DeepEqual(t, s.Versions("m", time.Second), []string{"v1", "v2"})

	s.RemoveEndpoint("a", false)
	c.T = c.T.Add(10 * time.Second)
	assert.DeepEqual(t, s.Versions("m", 10*time.Second), []string{"v1", "v2"})
	assert.DeepEqual(t, s.Versions("m", 9*time.Second), []string{"v2"})

	set("b", "v3", 2) // the same id starts again at another version
	assert.DeepEqual(t, s.Versions("m", 9*time.Second), []string{"v2", "v3"})
	c.T = c.T.Add(versionRetention + 1)
	s.RemoveExpired()
	assert.DeepEqual(t, s.Versions("m", time.Hour), []string{"v3"})
	assert.Equal(t, len(s.Versions("unknown", time.Hour)), 0)
}
