package httpapi

import "github.com/cespare/xxhash/v2"

const (
	// TokenBytes is how many prompt bytes engines of this protocol count as
	// one token.
	TokenBytes = 4
	// BlockTokens is how many tokens one piece of the prefix cache holds.
	BlockTokens = 2000
	// BlockBytes is the prompt length of one piece.
	BlockBytes = TokenBytes * BlockTokens
)

// Tokens returns the number of prompt tokens.
func Tokens(prompt []byte) int {
	return (len(prompt) + TokenBytes - 1) / TokenBytes
}

// BlockKeys returns the key of each whole piece of the prompt, in order, as cache
// events name it. The key of a piece covers the whole prefix up to the piece's
// end: it is the mix of the key before it, or of the hash of the model's name,
// with the hash of the piece. Package route computes the same keys. Versions
// and adapters of a model share keys, though no engine shares their KV cache:
// events are a hint where to send, the engine alone knows what it can use.
func BlockKeys(model string, prompt []byte) []uint64 {
	keys := make([]uint64, 0, len(prompt)/BlockBytes)
	h := xxhash.Sum64String(model)
	for len(prompt) >= BlockBytes {
		h = splitMix(h ^ xxhash.Sum64(prompt[:BlockBytes]))
		keys = append(keys, h)
		prompt = prompt[BlockBytes:]
	}
	return keys
}

// splitMix is the output function of the SplitMix64 generator.
func splitMix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
