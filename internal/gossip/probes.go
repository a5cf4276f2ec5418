package gossip

import (
	"context"
	"time"

	"fescuestand/internal/swim"
)

// longestStep bounds the pause between two looks at the list.
const longestStep = time.Second

// Push tells a few VMs at once what all must know; they pass it on.
func (u *Unit) Push() {
	u.members.push()
	wake(u.stepSoon)
}

// probe does what the list of all VMs has due.
func (u *Unit) probe(ctx context.Context) error {
	for {
		out, next := u.members.step()
		u.sendAll(out)
		u.members.logCensus()
		t := time.NewTimer(min(max(next.Sub(u.members.clock.Now()), 0), longestStep))
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-t.C:
		case <-u.stepSoon:
			t.Stop()
		}
	}
}

// sendAll sends messages of the list, with the news that all must know.
func (u *Unit) sendAll(out []swim.Outgoing) {
	for i := range out {
		b := probeBeat(&out[i].Message)
		_, b.NewestReadMs = u.members.told()
		u.content.FillNews(b)
		u.sendTo([]string{out[i].To}, b)
	}
}
