package connlimit

const (
	// minConnections is the least that a server may have open.
	minConnections = 8
	// memoryDivisor is the part of the memory limit of a process that the connections of all its servers may take. Bodies
	// have a part of their own (package bytebudget).
	memoryDivisor = 4
	// shareParts is the number of parts of which a Share is a number.
	shareParts = 32
)

// Share is the share of a server in the sockets of its process and in the memory for connections, in 32nds.
type Share struct{ Sockets, Memory int64 }

// Limits returns the limits of a server whose process has so many sockets and may take so many bytes of memory, zero if
// that isn't known.
func (s Share) Limits(sockets int, memory int64) Limits {
	return Limits{
		Connections: int(max(int64(sockets)*s.Sockets/shareParts, minConnections)),
		Bytes:       memory / memoryDivisor * s.Memory / shareParts,
	}
}
