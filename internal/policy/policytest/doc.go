// Package policytest joins the admission and routing policies to the load
// test's event loop, as an entry joins them to callers and endpoints.
//
// It is test support: measurements and failure tests of several packages run
// the same joint.
package policytest
