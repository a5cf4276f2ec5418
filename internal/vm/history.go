package vm

import (
	"context"
	"errors"
	"slices"

	"fescuestand/internal/catalog"
	"fescuestand/internal/era"
	"fescuestand/internal/keyedlog"
	"fescuestand/internal/policy/origin"
)

const (
	// maxHistory bounds the changes of endpoints' entries that are read.
	maxHistory = 512
	// afterAllIDs is after the ids of endpoints: what is asked for is the log's end.
	afterAllIDs = "~"
)

var (
	errRestoredBetween = errors.New("the store has been restored between two reads")
	errNoProgress      = errors.New("a page before the end of the log is empty")
)

// readHistory reads the latest changes of the endpoints' entries. The store may have deleted any of them.
func (n *Node) readHistory(ctx context.Context) (*origin.History, error) {
	source := n.adapter.Endpoints()
	last, err := source.Newest(ctx, afterAllIDs)
	if err != nil {
		return nil, err
	}
	from := era.Position{Era: last.End.Era, Offset: max(0, last.End.Offset-maxHistory)}
	h := &origin.History{Whole: from.Offset == 0}
	h.Changes, err = n.readChanges(ctx, source, from, last.End)
	if expired := (*keyedlog.ExpiredError)(nil); errors.As(err, &expired) {
		h.Whole = false
		h.Changes, err = n.readChanges(ctx, source, expired.First, last.End)
	}
	if err == nil && !h.Whole {
		h.Unchanged, err = n.readUnchanged(ctx, source, h.Changes, last.End)
	}
	return h, err
}

// readUnchanged returns the entries before the end of the log that aren't among the changes.
func (n *Node) readUnchanged(ctx context.Context, source keyedlog.Source, changes []origin.Change, end era.Position) ([]origin.Change, error) {
	entries, _, err := keyedlog.ReadNewest(ctx, source)
	if err != nil {
		return nil, err
	}
	var out []origin.Change
	for _, entry := range entries {
		isChange := func(c origin.Change) bool { return c.ID == entry.Key }
		if entry.Position.Compare(end) < 0 && !slices.ContainsFunc(changes, isChange) {
			out = n.appendChange(out, entry)
		}
	}
	return out, nil
}

func (n *Node) readChanges(ctx context.Context, source keyedlog.Source, from, end era.Position) ([]origin.Change, error) {
	var out []origin.Change
	for from.Offset < end.Offset {
		page, err := source.Read(ctx, from, 0)
		if err != nil {
			return nil, err
		}
		switch {
		case page.Next.Era != end.Era:
			return nil, errRestoredBetween
		case page.Next.Offset <= from.Offset:
			return nil, errNoProgress
		}
		for _, entry := range page.Entries {
			out = n.appendChange(out, entry)
		}
		from = page.Next
	}
	return out, nil
}

// appendChange appends a change, unless its entry can't be read: that names no endpoint to use.
func (n *Node) appendChange(changes []origin.Change, entry keyedlog.Entry) []origin.Change {
	if entry.Value == nil {
		return append(changes, origin.Change{ID: entry.Key})
	}
	e, err := n.adapter.DecodeEndpoint(entry.Key, entry.Value)
	if err != nil {
		return changes
	}
	return append(changes, origin.Change{
		ID: e.ID, Service: e.Service, Version: e.Version, Born: e.Born, Accepts: !e.Draining, CanRun: e.Stage != catalog.Prefill,
	})
}
