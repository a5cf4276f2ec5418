package place

import (
	"fmt"
	"testing"
)

// BenchmarkPlacement measures the choice of endpoints in a large deployment.
func BenchmarkPlacement(b *testing.B) {
	c := newCluster(&testing.T{}, split(40, 50)...)
	for vm := range 60 {
		var reports []Report
		for _, e := range c.open {
			reports = append(reports, Report{Endpoint: Key(e.ID), Running: 1})
		}
		c.p.ReceiveReport(0, fmt.Sprint(vm), reports, Demand{})
	}
	pr := prompt(1, 2000, 3000)
	b.Run("prompt", func(b *testing.B) {
		for b.Loop() {
			c.p.Plan(0, c.open, pr, nil)
		}
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			c.p.ChooseDecodeEngine(0, c.open, c.open[0], nil)
		}
	})
	b.Run("call", func(b *testing.B) {
		for b.Loop() {
			c.p.ChooseEndpoint(0, c.open, nil)
		}
	})
}
