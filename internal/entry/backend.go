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
	// addressTTL is how long callers cache an address answer. A leaving VM receives no new callers
	// once it has passed, and address requests stay rare compared with a caller's other requests.
	addressTTL = 2 * time.Second
	// The limits if the sheet sets none.
	defaultMaxBodyBytes = 1 << 20
	defaultMaxTokens    = 4096
)

// backend implements callerapi.Backend.
type backend struct {
	settings *Settings
	view     func() *replica.View
	dispatch *dispatch.Dispatcher
	commits  *commit.Committer
}

var _ callerapi.Backend = (*backend)(nil)

// Ready implements callerapi.Backend.
func (b *backend) Ready() *code.Error {
	if !b.view().Ready {
		return code.New(code.NotReady, "no sheet is in force here yet").WithRetryAfter(time.Second)
	}
	return nil
}

// Addresses implements callerapi.Backend. VMs of the caller's availability zone come first; if the
// caller names no zone, those of this VM's zone. The order within a zone is random to spread the
// callers.
func (b *backend) Addresses(zone string) callerapi.Addresses {
	if zone == "" {
		zone = b.settings.Zone
	}
	usable := b.usableMembers()
	rand.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	slices.SortStableFunc(usable, func(x, y membership.Member) int {
		return zoneRank(&x, zone) - zoneRank(&y, zone)
	})
	out := callerapi.Addresses{TTLMS: addressTTL.Milliseconds(), Addresses: []callerapi.Address{}}
	for _, m := range usable {
		out.Addresses = append(out.Addresses, callerapi.Address{Address: m.Caller, Zone: m.Zone})
	}
	if v := b.view(); len(out.Addresses) == 0 && !v.Leaving {
		out.Addresses = append(out.Addresses, callerapi.Address{Address: b.settings.Addresses.Caller, Zone: b.settings.Zone})
	}
	return out
}

func zoneRank(m *membership.Member, zone string) int {
	if m.Zone == zone {
		return 0
	}
	return 1
}

// usableMembers returns the VMs that may be sent callers and new work.
func (b *backend) usableMembers() []membership.Member {
	v := b.view()
	var out []membership.Member
	for i := range v.Members {
		m := v.Members[i]
		if m.Usable() && (!v.Leaving || m.Name != b.settings.VM) {
			out = append(out, m)
		}
	}
	return out
}

// peerAddresses returns the addresses of the usable peers, those in this VM's zone first. Requests
// may be forwarded to them while this VM leaves.
func (b *backend) peerAddresses() []string {
	usable := b.usableMembers()
	slices.SortStableFunc(usable, func(x, y membership.Member) int {
		return zoneRank(&x, b.settings.Zone) - zoneRank(&y, b.settings.Zone)
	})
	var out []string
	for _, m := range usable {
		if m.Name != b.settings.VM && m.Peer != "" {
			out = append(out, m.Peer)
		}
	}
	return out
}

// Limits implements callerapi.Backend.
func (b *backend) Limits() callerapi.Limits {
	l := callerapi.Limits{MaxBodyBytes: defaultMaxBodyBytes, MaxTokens: defaultMaxTokens}
	if s := b.view().Sheet; s != nil {
		if s.Limits.MaxBodyBytes > 0 {
			l.MaxBodyBytes = s.Limits.MaxBodyBytes
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
	done, err := b.dispatch.Admit(ctx, c)
	if err != nil {
		return callerapi.Reply{}, markResendUnknown(c, err)
	}
	var reply callerapi.Reply
	if c.Key == "" {
		reply.Body, err = b.dispatch.Lookup(ctx, c)
	} else {
		reply, err = b.commit(ctx, c)
	}
	done(err == nil)
	return reply, err
}

// markResendUnknown changes the outcome of a resend that was refused before its key was looked up in
// the log from not-run to unknown, as an earlier request with that key may have run.
func markResendUnknown(c *callerapi.Call, err error) error {
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
