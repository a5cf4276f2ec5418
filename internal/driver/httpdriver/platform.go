package httpdriver

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver/httpapi"
)

type logService struct{ *client }

var _ driver.Log = (*logService)(nil)

// Append implements driver.Log.
func (l *logService) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	resp, err := l.send(ctx, &request{method: http.MethodPost, path: httpapi.PathStreams + url.PathEscape(stream), body: data})
	if err != nil {
		return 0, err
	}
	var a httpapi.Appended
	err = decode(resp, &a, "offset")
	return a.Offset, err
}

// Read implements driver.Log.
func (l *logService) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (driver.Page, error) {
	q := url.Values{
		"from":    {strconv.FormatUint(from, 10)},
		"limit":   {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var p httpapi.Page
	err := l.get(ctx, httpapi.PathStreams+url.PathEscape(stream), q, &p, "end")
	var expired *expiredError
	if errors.As(err, &expired) {
		return driver.Page{First: expired.first, End: expired.end}, err
	}
	if err != nil {
		return driver.Page{}, err
	}
	page := driver.Page{First: p.First, End: p.End, Records: make([]driver.Record, len(p.Records))}
	for i, r := range p.Records {
		page.Records[i] = driver.Record{Offset: r.Offset, Time: time.Unix(0, r.TimeNS), Data: r.Data}
	}
	return page, nil
}

type vmList struct{ *client }

var _ driver.VMList = (*vmList)(nil)

// List implements driver.VMList.
func (l *vmList) List(ctx context.Context) ([]driver.VM, error) {
	var body httpapi.VMs
	if err := l.get(ctx, httpapi.PathVMs, nil, &body, "vms"); err != nil {
		return nil, err
	}
	vms := make([]driver.VM, len(body.VMs))
	for i, v := range body.VMs {
		vms[i] = driver.VM(v)
	}
	return vms, nil
}

type weightStore struct{ *client }

var _ driver.WeightStore = (*weightStore)(nil)

// Size implements driver.WeightStore.
func (w *weightStore) Size(ctx context.Context, model, version string) (int64, error) {
	var s httpapi.Size
	err := w.get(ctx, httpapi.PathSize, url.Values{"model": {model}, "version": {version}}, &s, "bytes")
	return s.Bytes, err
}

// Rate implements driver.WeightStore.
func (w *weightStore) Rate(ctx context.Context) (int64, error) {
	var r httpapi.Rate
	err := w.get(ctx, httpapi.PathRate, nil, &r, "bytes_per_second")
	return r.BytesPerSecond, err
}
