// Package splitmix mixes the bits of 64-bit keys, for rendezvous hashing and for reproducible
// pseudo-random numbers from a seed.
package splitmix

// Mix is the output function of the SplitMix64 generator: a change of any input bit changes about
// half of the output bits.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
