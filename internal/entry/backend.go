package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"fescuestand/internal/code"
	"fescuestand/internal/commit"
	"fescuestand/internal/entry/callerapi"
	"fescuestand/internal/entry/dispatch"
	"fescuestand/internal/membership"
	"fescuestand/internal/replica"
)

const (
	// addressTTL is how long callers keep an address answer: a leaving VM
	// gets no more first requests after it, and address requests stay rare
	// against the work of a caller.
	addressTTL = 2 * time.Second
	// Limits of a sheet that sets none.
	defaultMaxBody   = 1 << 20
	defaultMaxTokens = 4096
)

// backend implements callerapi.Backend.
type backend struct {
	own      *Settings
	views    func() *replica.View
	dispatch *dispatch.Dispatcher
	commits  *commit.Committer
}

var _ callerapi.Backend = (*backend)(nil)

// Ready implements callerapi.Backend.
func (b *backend) Ready() *code.Error {
	if !b.views().Ready {
		return code.New(code.NotReady, "no sheet is in force here yet").WithRetryAfter(time.Second)
	}
	return nil
}

// Addresses implements callerapi.Backend. VMs of the caller's availability zone
// come first, of the own one if the caller names none; the order within a zone
// is random, so that callers spread.
func (b *backend) Addresses(zone string) callerapi.Addresses {
	if zone == "" {
		zone = b.own.Zone
	}
	usable := b.usable()
	rand.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	slices.SortStableFunc(usable, func(x, y membership.Member) int {
		return rank(&x, zone) - rank(&y, zone)
	})
	out := callerapi.Addresses{TTLMS: addressTTL.Milliseconds(), Addresses: []callerapi.Address{}}
	for _, m := range usable {
		out.Addresses = append(out.Addresses, callerapi.Address{Address: m.Caller, Zone: m.Zone})
	}
	if v := b.views(); len(out.Addresses) == 0 && !v.Leaving {
		out.Addresses = append(out.Addresses, callerapi.Address{Address: b.own.Addresses.Caller, Zone: b.own.Zone})
	}
	return out
}

func rank(m *membership.Member, zone string) int {
	if m.Zone == zone {
		return 0
	}
	return 1
}

// usable returns the VMs that callers and new work may be sent to.
func (b *backend) usable() []membership.Member {
	v := b.views()
	var out []membership.Member
	for i := range v.Members {
		m := v.Members[i]
		if m.Usable() && (!v.Leaving || m.Name != b.own.VM) {
			out = append(out, m)
		}
	}
	return out
}

// peers returns the peer addresses that late arrivals may be passed on to.
func (b *backend) peers() []string {
	usable := b.usable()
	slices.SortStableFunc(usable, func(x, y membership.Member) int {
		return rank(&x, b.own.Zone) - rank(&y, b.own.Zone)
	})
	var out []string
	for _, m := range usable {
		if m.Name != b.own.VM && m.Peer != "" {
			out = append(out, m.Peer)
		}
	}
	return out
}

// Limits implements callerapi.Backend.
func (b *backend) Limits() callerapi.Limits {
	l := callerapi.Limits{MaxBodyBytes: defaultMaxBody, MaxTokens: defaultMaxTokens}
	if s := b.views().Sheet; s != nil {
		if s.Limits.MaxBody > 0 {
			l.MaxBodyBytes = s.Limits.MaxBody
		}
		if s.Limits.MaxTokens > 0 {
			l.MaxTokens = s.Limits.MaxTokens
		}
	}
	return l
}

// Generate implements callerapi.Backend.
func (b *backend) Generate(ctx context.Context, g *callerapi.Generate, out callerapi.Sink) error {
	return b.dispatch.Generate(ctx, g, out)
}

// NeedsKey implements callerapi.Backend.
func (b *backend) NeedsKey(service, operation string) (bool, error) {
	op, err := b.dispatch.Operation(service, operation)
	if err != nil {
		return false, err
	}
	return !op.Idempotent, nil
}

// Call implements callerapi.Backend.
func (b *backend) Call(ctx context.Context, c *callerapi.Call) (callerapi.Reply, error) {
	leave, err := b.dispatch.Admit(ctx, c)
	if err != nil {
		return callerapi.Reply{}, resent(c, err)
	}
	var reply callerapi.Reply
	if c.Key == "" {
		reply.Body, err = b.dispatch.Lookup(ctx, c)
	} else {
		reply, err = b.commit(ctx, c)
	}
	leave(err == nil)
	return reply, err
}

// resent takes not-run back from a refusal that was made before the log was
// asked about an earlier sending of the key.
func resent(c *callerapi.Call, err error) error {
	var e *code.Error
	if c.Key != "" && c.Resend && errors.As(err, &e) && e.Run == code.NotRun {
		return e.WithRun(code.Unknown)
	}
	return err
}

func (b *backend) commit(ctx context.Context, c *callerapi.Call) (callerapi.Reply, error) {
	ans, err := b.commits.Do(ctx, &commit.Request{
		Key: c.Key, Issued: c.Issued, Service: c.Service, Operation: c.Operation, Body: c.Body, Resend: c.Resend,
	})
	return callerapi.Reply{Code: ans.Code, Body: ans.Body}, err
}

// CommitStatus implements callerapi.Backend.
func (b *backend) CommitStatus(key string) (callerapi.Reply, error) {
	ans, err := b.commits.Status(key)
	return callerapi.Reply{Code: ans.Code, Body: ans.Body}, err
}
