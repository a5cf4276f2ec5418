package swim

import "fescuestand/internal/clock"

// churnMonitor counts the VMs that were recently declared failed or came back.
type churnMonitor struct {
	count int
	until clock.Time
}

// record counts one such change and reports whether it reaches churnThreshold.
func (c *churnMonitor) record(now clock.Time) (reached bool) {
	if now >= c.until {
		c.count = 0
	}
	c.count++
	c.until = now.Add(churnWindow)
	return c.count == churnThreshold
}

// active reports whether churnThreshold was reached within the last churnWindow.
func (c *churnMonitor) active(now clock.Time) bool { return now < c.until && c.count >= churnThreshold }
