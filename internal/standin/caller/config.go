// Package caller is a bounded caller of the system. It asks for addresses,
// sends a seeded mix that shifts between short questions and long documents,
// checks every byte of every answer, and counts what callers would see.
package caller

import (
	"time"
)

// Class is one kind of generate request.
type Class struct {
	Name      string
	MaxTokens int
	Deadline  time.Duration
}

// Service is the plain service that is called; an empty name leaves it out.
type Service struct {
	Name     string
	Lookup   string // idempotent operation
	Commit   string // non-idempotent operation
	Deadline time.Duration
}

// Config sets up a run.
type Config struct {
	Entries     []string // addresses that are asked for addresses
	Seed        uint64
	For         time.Duration // new requests are sent for this long
	Requests    int           // at most this many; 0: no limit
	Rate        float64       // requests a second
	Callers     int
	Workspaces  int
	Model       string
	Version     string
	Adapter     string
	Short       Class
	Long        Class
	Service     Service
	LookupShare float64
	CommitShare float64
	// The share of long documents swings between LongShareLow and LongShareHigh, half
	// of Period each.
	LongShareLow, LongShareHigh float64
	Period            time.Duration
	LongPrefixBlocks        int  // pieces of prompt prefix of a long document
	Return            bool // come back after a refusal that names a time
	Resend            bool // ask again after a cut connection
	// Engines and Endpoints are asked at the end what they executed.
	Engines   []string
	Endpoints []string
}

// kind is what a request is, for the table.
type kind int

const (
	kindShort kind = iota
	kindLong
	kindLookup
	kindCommit
	kinds
)

func (c *Config) kindName(k kind) string {
	switch k {
	case kindShort:
		return c.Short.Name
	case kindLong:
		return c.Long.Name
	case kindLookup:
		return c.Service.Lookup
	default:
		return c.Service.Commit
	}
}

func (c *Config) deadline(k kind) time.Duration {
	switch k {
	case kindShort:
		return c.Short.Deadline
	case kindLong:
		return c.Long.Deadline
	default:
		return c.Service.Deadline
	}
}
