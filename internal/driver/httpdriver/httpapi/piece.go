package httpapi

import "github.com/cespare/xxhash/v2"

const (
	// TokenBytes is the number of prompt bytes that engines of this protocol count as one token.
	TokenBytes = 4
	// BlockTokens is the number of tokens in one block of the prefix cache.
	BlockTokens = 2000
	// BlockBytes is the number of prompt bytes in one block.
	BlockBytes = TokenBytes * BlockTokens
)

// Tokens returns the number of tokens in the prompt.
func Tokens(prompt []byte) int {
	return (len(prompt) + TokenBytes - 1) / TokenBytes
}

// BlockKeys returns the key of each complete block of the prompt, in order, as used in cache
// events.
//
// A block's key covers the whole prefix up to the end of the block: it mixes the previous key (for
// the first block, the hash of the model's name) with the hash of the block. Package route computes
// the same keys.
//
// Versions and adapters of a model share keys, though engines share no KV cache between them: cache
// events are only a routing hint, and the engine alone decides which blocks it can reuse.
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
