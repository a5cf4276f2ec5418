package capacity

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/driver"
	"fescuestand/internal/fold"
	"fescuestand/internal/logclient"
	"fescuestand/internal/replica"
	"fescuestand/internal/standin/logservice"
	"fescuestand/internal/wire"
)

// publishChanges appends a sheet of n runners and then k changes of one runner each, as k publishers would.
func publishChanges(tb testing.TB, lg driver.Log, n, k int) {
	base := uint64(0)
	for i := range k + 1 {
		e := &wire.Entry{Kind: &wire.Entry_Sheet{Sheet: &wire.Sheet{Body: bodyOf(tb, sheetOf(n)), PublishId: "0"}}}
		if i > 0 {
			e = changeOf(base, i, n)
		}
		data, err := fold.Encode(fmt.Sprint("publisher-", i), "desk", 1, []*wire.Entry{e})
		assert.NilError(tb, err)
		base, err = lg.Append(context.Background(), "config", data)
		assert.NilError(tb, err)
	}
}

func changeOf(base uint64, i, runners int) *wire.Entry {
	return &wire.Entry{Kind: &wire.Entry_Patch{Patch: &wire.Patch{
		Base: base, Body: fmt.Appendf(nil, `{"engines":{%q:{"withdrawn":%t}}}`, engineName(i%runners), i%2 == 0),
		Operator: "operator-1", PublishId: fmt.Sprintf("%016x", i),
	}}}
}

// BenchmarkStart measures the time that a starting process, or a publish, needs per change retained in the
// config stream: it reads and folds all of them.
func BenchmarkStart(b *testing.B) {
	for _, size := range []struct{ runners, changes int }{{12, 25}, {12, 100}, {12, 400}, {120, 100}, {430, 100}, {4300, 100}} {
		b.Run(fmt.Sprintf("runners=%d/changes=%d", size.runners, size.changes), func(b *testing.B) {
			l := serveHTTP(b, logservice.New(logservice.Config{AppendsPerSecond: 1e6}).Handler())
			open, err := driver.Logs.Get("http")
			assert.NilError(b, err)
			lg, err := open(driver.Target{Driver: "http", Address: l.Addr().String()})
			assert.NilError(b, err)
			publishChanges(b, lg, size.runners, size.changes)
			for b.Loop() {
				c := logclient.New(logclient.Options{Log: lg, Writer: "w", VM: "vm"})
				got, _, err := replica.ReadAccepted(context.Background(), c, "config")
				assert.NilError(b, err)
				assert.Equal(b, got.Version, uint64(size.changes)+1)
				assert.NilError(b, c.Close())
			}
			perChange := b.Elapsed() / time.Duration(b.N*size.changes)
			b.ReportMetric(float64(perChange)/float64(time.Millisecond), "ms/change")
		})
	}
}
