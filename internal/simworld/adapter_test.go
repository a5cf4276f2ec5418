package simworld

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fescuestand/internal/authority"
	"fescuestand/internal/cachesync"
	"fescuestand/internal/catalog"
	"fescuestand/internal/era"
	"fescuestand/internal/exchange"
	"fescuestand/internal/gateway"
	"fescuestand/internal/gossip"
	"fescuestand/internal/keyedlog"
	"fescuestand/internal/orders"
	"fescuestand/internal/originsync"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/scaling"
	"fescuestand/internal/simnet"
	"fescuestand/internal/usage"
	"fescuestand/internal/vm"
)

// adapter implements vm.Adapter.
type adapter struct {
	*client
	eras *era.Tracker
}

var _ vm.Adapter = (*adapter)(nil)

func newAdapter(s *store, name string) *adapter {
	eras := era.NewTracker(simnet.Clock{})
	return &adapter{&client{s: s, name: name, eras: eras}, eras}
}

// Eras implements vm.Adapter.
func (a *adapter) Eras() *era.Tracker { return a.eras }

// Codec implements vm.Adapter.
func (a *adapter) Codec() gateway.Codec { return codec{} }

// Configs implements vm.Adapter.
func (a *adapter) Configs() keyedlog.Source { return &source{a.client, configLog} }

// Endpoints implements vm.Adapter.
func (a *adapter) Endpoints() keyedlog.Source { return &source{a.client, endpointLog} }

// DecodeConfig implements vm.Adapter.
func (a *adapter) DecodeConfig(data []byte) (*catalog.Config, error) {
	number, variant, _ := strings.Cut(string(data), " ")
	version, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return nil, err
	}
	c := config(version)
	if change := variants[variant]; change != nil {
		change(c)
	}
	return c, nil
}

// DecodeEndpoint implements vm.Adapter.
func (a *adapter) DecodeEndpoint(_ string, data []byte) (*catalog.Endpoint, error) {
	e := &catalog.Endpoint{}
	return e, json.Unmarshal(data, e)
}

// LeaderRecord implements vm.Adapter.
func (a *adapter) LeaderRecord() authority.LeaderRecord { return a.client }

// Engine implements vm.Adapter.
func (a *adapter) Engine(pool *exchange.Pool) orders.Engine { return &engines{pool} }

// Caches implements vm.Adapter.
func (a *adapter) Caches(pool *exchange.Pool) cachesync.CacheLister { return &engines{pool} }

// Readiness implements vm.Adapter.
func (a *adapter) Readiness(m *gossip.Members) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !m.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// Directory implements vm.Adapter.
func (a *adapter) Directory(m *gossip.Members) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(m.AdvertisedAddresses(zone)) // fails only if the caller has closed the connection
	})
}

// UsageRecords implements vm.Adapter.
func (a *adapter) UsageRecords() usage.Records { return nil }

// StreamRecords implements vm.Adapter.
func (a *adapter) StreamRecords() originsync.Store { return a.client }

// QuarantineStore implements vm.Adapter.
func (a *adapter) QuarantineStore() vm.QuarantineStore { return a.client }

// Billing implements vm.Adapter.
func (a *adapter) Billing() usage.Billing { return nil }

// Provider implements vm.Adapter.
func (a *adapter) Provider() scaling.Provider { return nil }

// engines sends orders to engines and queries them.
type engines struct{ pool *exchange.Pool }

// Report implements orders.Engine.
func (g *engines) Report(ctx context.Context, e *catalog.Endpoint) (r orders.Report, err error) {
	return r, g.do(ctx, e, http.MethodGet, "/report", nil, &r)
}

// order is an order to change an engine's stage.
type order struct {
	Stage    catalog.Stage
	Accepted int64
}

// Order implements orders.Engine.
func (g *engines) Order(ctx context.Context, e *catalog.Endpoint, to catalog.Stage, r orders.Report, _ int64) error {
	return g.do(ctx, e, http.MethodPost, "/order", order{to, r.Accepted}, nil)
}

// Cached implements cachesync.CacheLister.
func (g *engines) Cached(ctx context.Context, e *catalog.Endpoint) (parts []place.Part, err error) {
	return parts, g.do(ctx, e, http.MethodGet, "/cached", nil, &parts)
}

func (g *engines) do(ctx context.Context, e *catalog.Endpoint, method, target string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	resp, err := g.pool.Do(ctx, e.Address, &exchange.Request{
		Method: method, Target: target, Host: e.Address, Header: http.Header{headerTo: {e.ID}}, Body: body, NoRetry: true,
	})
	if err != nil {
		return err
	}
	defer resp.Close()
	answer, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return err
	case resp.Status != http.StatusOK:
		return fmt.Errorf("%w: status %d", orders.ErrRefused, resp.Status)
	case out == nil:
		return nil
	}
	return json.Unmarshal(answer, out)
}

// The headers of requests and answers.
const (
	headerID       = "Id"
	headerPatience = "Patience" // milliseconds
	headerTokens   = "Tokens"
	headerParts    = "Parts"
	headerLast     = "Last"
	headerResumes  = "Resumes" // id of the attempt that brought the first event
	headerTo       = "To"
	headerPrefill  = "Prefill"
	headerHandoff  = "Handoff"
	headerSeal     = "Seal"
	headerNotRun   = "Not-Run"
	headerRelayed  = "Relayed"
)

// codec implements gateway.Codec.
type codec struct{}

// RequestID implements gateway.Codec.
func (codec) RequestID(r *http.Request) string { return r.Header.Get(headerID) }

// Decode implements gateway.Codec.
func (codec) Decode(r *http.Request) (*gateway.Call, error) {
	c := &gateway.Call{
		ID: r.Header.Get(headerID), Method: r.Method, Target: r.RequestURI, Path: r.URL.Path, Host: r.Host,
		Header: gateway.EndToEnd(r.Header), LastEventID: r.Header.Get(headerLast), Resumes: r.Header.Get(headerResumes),
		Relayed: r.Header.Get(headerRelayed) != "",
	}
	ms, err := strconv.Atoi(r.Header.Get(headerPatience))
	if err != nil {
		return nil, err
	}
	c.CallerTimeout = time.Duration(ms) * time.Millisecond
	c.PromptTokens, _ = strconv.Atoi(r.Header.Get(headerTokens)) // zero for a call of a plain service
	if parts := r.Header.Get(headerParts); parts != "" {
		err = json.Unmarshal([]byte(parts), &c.Parts)
	}
	return c, err
}

// Header implements gateway.Codec.
func (codec) Header(c *gateway.Call, s *gateway.EndpointRequest) http.Header {
	h := c.Header.Clone()
	h.Set(headerPatience, strconv.FormatInt(s.RemainingTime.Milliseconds(), 10))
	h.Set(headerTo, s.Endpoint.ID)
	if s.PrefillOnly {
		h.Set(headerPrefill, "1")
	}
	if s.Handoff != nil {
		h.Set(headerHandoff, s.Handoff.Handle)
	}
	if s.LastEventID != "" {
		h.Set(headerLast, s.LastEventID)
	}
	return h
}

// ResponseID implements gateway.Codec.
func (codec) ResponseID(h http.Header) string { return h.Get(headerID) }

// Relay implements gateway.Codec.
func (codec) Relay(r *http.Request, remaining time.Duration) http.Header {
	h := gateway.EndToEnd(r.Header)
	h.Set(headerPatience, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	h.Set(headerRelayed, "1")
	return h
}

// Answer implements gateway.Codec.
func (codec) Answer(c *gateway.Call, status int, h http.Header) gateway.Answer {
	misdirected := status == http.StatusMisdirectedRequest
	return gateway.Answer{
		NotRun: misdirected || h.Get(headerNotRun) != "", Misdirected: misdirected, Signed: h.Get(headerSeal) != "",
		OtherRequest: h.Get(headerID) != "" && h.Get(headerID) != c.ID, Requests: -1,
	}
}

// ParseHandoff implements gateway.Codec.
func (codec) ParseHandoff(body []byte) (string, error) {
	handle := string(bytes.TrimSpace(body))
	if handle == "" {
		return "", errors.New("no handle")
	}
	return handle, nil
}

// LifeCheck implements gateway.Codec.
func (codec) LifeCheck() (method, target string) { return http.MethodGet, "/report" }

// ParseBorn implements gateway.Codec.
func (codec) ParseBorn(body []byte) int64 {
	var r reported
	_ = json.Unmarshal(body, &r) // zero if it isn't there
	return r.Born
}

// Release implements gateway.Codec.
func (codec) Release(handle string) (method, target string) {
	return http.MethodDelete, "/handle/" + handle
}
