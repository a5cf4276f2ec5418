// Package simworld tests whole VMs in simulated time: the units that package vm wires, on a simulated network (package
// simnet), before simulated endpoints, an in-memory store and callers, in one bubble of testing/synctest.
//
// A world's bounds of time are exact, and its verdict doesn't depend on the machine's load. A seed determines the
// network, the callers and the faults.
//
// Not simulated: the platform's protocol and settings file, signals (a drain begins by the kernel's channel), stalls of
// a VM and its processor time, bandwidth, loss on connections, and what package simnet lists.
package simworld
