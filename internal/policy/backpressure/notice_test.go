package backpressure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var newYear = time.Date(2027, time.January, 1, 0, 0, 0, 0, time.UTC)

func TestParse(t *testing.T) {
	for fields, want := range map[Fields]Notice{
		{}:                              {},
		{Limit: "  ", Leaving: " "}:     {},
		{Limit: "7.9"}:                  {Limited: true, Limit: 7.9},
		{Limit: " 12 "}:                 {Limited: true, Limit: 12},
		{Limit: "0"}:                    {Limited: true},
		{Limit: "1e9"}:                  {Limited: true, Limit: 1e9},
		{Limit: "-1"}:                   {Malformed: true},
		{Limit: "NaN"}:                  {Malformed: true},
		{Limit: "+Inf"}:                 {Malformed: true},
		{Limit: "1e999"}:                {Malformed: true},
		{Limit: "many"}:                 {Malformed: true},
		{Limit: "7.9, 12"}:              {Malformed: true},
		{Leaving: "1"}:                  {Leaving: true},
		{Leaving: "true"}:               {Leaving: true},
		{Leaving: "0"}:                  {},
		{Leaving: "soon"}:               {Malformed: true},
		{Limit: "2", Leaving: "1"}:      {Limited: true, Limit: 2, Leaving: true},
		{Limit: "many", Leaving: " 1 "}: {Malformed: true, Leaving: true},
		{RetryAfter: "2"}:               {RetryAfter: 2 * time.Second},
		{RetryAfter: "0.25"}:            {RetryAfter: 250 * time.Millisecond},
		{RetryAfter: "3600"}:            {RetryAfter: time.Hour},
		{RetryAfter: "1e30"}:            {RetryAfter: maxRetryAfter},
		{RetryAfter: "-1"}:              {Malformed: true},
		{RetryAfter: "NaN"}:             {Malformed: true},
		{RetryAfter: "later"}:           {Malformed: true},
		{RetryAfter: "Fri, 01 Jan 2027 00:00:05 GMT", Now: newYear}: {RetryAfter: 5 * time.Second},
		{RetryAfter: "Thu, 31 Dec 2026 23:00:00 GMT", Now: newYear}: {},
	} {
		assert.Equal(t, Parse(fields), want, "%+v", fields)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("7.9", "1", "2")
	f.Add("-0", "soon", "1e300")
	f.Add("0x1p-2", "", "Fri, 01 Jan 2027 00:00:05 GMT")
	f.Fuzz(func(t *testing.T, limit, leaving, retryAfter string) {
		n := Parse(Fields{Limit: limit, Leaving: leaving, RetryAfter: retryAfter, Now: newYear})
		assert.Assert(t, n.RetryAfter >= 0 && n.RetryAfter <= maxRetryAfter)
		assert.Assert(t, n.Limit >= 0)
	})
}
