// Package capacity contains the benchmarks for docs/CAPACITY.md that span several packages. Each measures
// how CPU time, memory or bytes grow with the number of runners, nodes, changes, commits or workspaces, at
// three sizes or more.
package capacity
