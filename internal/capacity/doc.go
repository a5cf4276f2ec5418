// Package capacity holds the benchmarks behind docs/CAPACITY.md that span
// packages: each gives a slope of processor time, memory or bytes by runner,
// node, change, commit or workspace, at three sizes or more.
package capacity
