package httpapi

import "github.com/cespare/xxhash/v2"

const (
	// TokenBytes is how many prompt bytes engines of this protocol count as
	// one token.
	TokenBytes = 4
	// PieceTokens is how many tokens one piece of the prefix cache holds.
	PieceTokens = 2000
	// PieceBytes is the prompt length of one piece.
	PieceBytes = TokenBytes * PieceTokens
)

// Tokens returns the number of prompt tokens.
func Tokens(prompt []byte) int {
	return (len(prompt) + TokenBytes - 1) / TokenBytes
}

// Pieces returns the cache key of each whole piece of the prompt, in order.
// The key of a piece covers the whole prefix up to the piece's end.
func Pieces(model, version, adapter string, prompt []byte) []uint64 {
	keys := make([]uint64, 0, len(prompt)/PieceBytes)
	d := xxhash.New()
	for _, s := range []string{model, version, adapter} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	for end := PieceBytes; end <= len(prompt); end += PieceBytes {
		_, _ = d.Write(prompt[end-PieceBytes : end])
		keys = append(keys, d.Sum64())
	}
	return keys
}
