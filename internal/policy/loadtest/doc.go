// Package loadtest compares admission, routing and role-planning policies under simulated load by
// the answers that callers receive. It is test support.
//
// Each policy implements a small interface and runs against a simple model of engines with
// continuous batching, on a deterministic event loop with a fake clock. For a given seed every
// policy gets the same arrivals. Several entries act on their own delayed views of the same
// engines, as in production.
//
// It isn't a model of the whole system: there is no log service, no lease and no network apart
// from one fixed delay, and KV memory limits only the number of streams in a batch and of cached
// blocks.
package loadtest
