// Package loadtest judges single decisions under load by what callers receive.
//
// It runs admission, routing and role plans, each behind a small interface,
// against a plain model of continuously batching engines on one deterministic
// event loop with a fake clock. Equal seeds give equal arrivals to every policy
// under comparison. Several entries act on their own lagged views of the same
// engines, as they do in production.
//
// It is test support, not a model of the whole system: there is no log service,
// no lease, no network beyond one fixed delay, and KV memory limits only the
// number of streams in a batch and of cached pieces.
package loadtest
