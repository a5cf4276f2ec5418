// Package restoresim tests what VMs know of the configuration and of the endpoints while the platform's
// store is restored from older copies. It runs the code that reads the store and exchanges changes
// between VMs, with its goroutines and timers, in fake time.
package restoresim
