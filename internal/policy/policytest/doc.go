// Package policytest connects the admission and routing policies to the simulation of package
// loadtest, as an entry connects them to callers and endpoints.
//
// It is test support: measurements and fault tests of several packages share this adapter.
package policytest
