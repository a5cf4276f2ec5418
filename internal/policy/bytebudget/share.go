package bytebudget

import "hash/maphash"

// shareKind is what holds a share.
type shareKind int

const (
	routes shareKind = iota
	workspaces
	endpoints
	shareKinds
)

const (
	// shareCount bounds the shares of a kind. Holders with the same hash have one share together; the seed of the
	// hash differs from VM to VM.
	shareCount = 512
	// callerShare is how many times the rest of the room a route or a workspace may hold. One alone gets two thirds,
	// two get two fifths each.
	callerShare = 2
	// endpointShareDivisor is the part of what there is for bodies of a size that may be on its way to one endpoint.
	// A slow one then leaves its route as much for the others.
	endpointShareDivisor = 3
)

func (b *Budget) shareOf(k shareKind, name string) *int64 {
	return &b.shares[k][maphash.String(b.seed, name)%shareCount]
}

// room returns the bytes that are left for the body of a request of the given size. b.mu is held.
func (b *Budget) room(size int64) int64 {
	switch {
	case size < smallBytes:
		return b.part(smallPart) - b.s.Used
	case size < LargeBytes:
		return b.part(mediumPart) - b.s.Used
	}
	return min(b.part(largePart)-b.s.Used, b.part(largeRequestsPart)-b.s.Requests)
}

// endpointShare returns the bytes that may be on their way to one endpoint when a body of the given size is sent. b.mu is
// held.
func (b *Budget) endpointShare(size int64) int64 {
	if size < LargeBytes {
		return b.part(mediumPart) / endpointShareDivisor
	}
	return b.part(largeRequestsPart) / endpointShareDivisor
}

// MaxRequest returns the bytes that the body of a request may take.
func (b *Budget) MaxRequest() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.part(largeRequestsPart)
}
