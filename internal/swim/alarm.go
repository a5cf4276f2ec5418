package swim

import "fescuestand/internal/clock"

// alarm counts the VMs that fell silent or came back lately.
type alarm struct {
	count int
	until clock.Time
}

// note counts one, and tells whether it raises the alarm.
func (a *alarm) note(now clock.Time) (raised bool) {
	if now >= a.until {
		a.count = 0
	}
	a.count++
	a.until = now.Add(alarmFor)
	return a.count == alarmAfter
}

// raised tells whether there were several.
func (a *alarm) raised(now clock.Time) bool { return now < a.until && a.count >= alarmAfter }
