package backpressure

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestParseLimit(t *testing.T) {
	for text, want := range map[string]Notice{
		"":        {},
		"  ":      {},
		"7.9":     {Limited: true, Limit: 7.9},
		" 12 ":    {Limited: true, Limit: 12},
		"0":       {Limited: true},
		"1e9":     {Limited: true, Limit: 1e9},
		"-1":      {Unreadable: true},
		"NaN":     {Unreadable: true},
		"+Inf":    {Unreadable: true},
		"1e999":   {Unreadable: true},
		"many":    {Unreadable: true},
		"7.9, 12": {Unreadable: true},
	} {
		assert.Equal(t, ParseLimit(text), want, text)
	}
}

func FuzzParseLimit(f *testing.F) {
	f.Add("7.9")
	f.Add("-0")
	f.Add("0x1p-2")
	f.Fuzz(func(t *testing.T, text string) {
		n := ParseLimit(text)
		assert.Assert(t, n.Limit >= 0)
		assert.Assert(t, !n.Limited || !n.Unreadable)
	})
}
