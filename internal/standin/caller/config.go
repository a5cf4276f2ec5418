// Package caller is a load generator that checks the answers of the system.
//
// It requests the addresses of VMs, sends a seeded mix of requests that shifts between short questions
// and long documents, checks every byte of every answer, and counts the outcomes that callers would
// see. At the end it compares them with what the fake engines and endpoints executed.
package caller

import (
	"time"
)

// Class is one class of generate requests.
type Class struct {
	Name      string
	MaxTokens int // longest answer
	Deadline  time.Duration
}

// Service is the plain service to call. With an empty name none is called.
type Service struct {
	Name     string
	Lookup   string // idempotent operation
	Commit   string // non-idempotent operation
	Deadline time.Duration
}

// Config configures a run.
type Config struct {
	Entries     []string // addresses of the VMs that are asked for the address list
	Seed        uint64
	For         time.Duration // how long new requests are sent
	Requests    int           // maximum number of requests; 0: no limit
	Rate        float64       // requests per second
	Callers     int           // callers, each with its own address cache
	Workspaces  int
	Model       string
	Version     string
	Adapter     string
	Short       Class
	Long        Class
	Service     Service
	LookupShare float64
	CommitShare float64
	// The share of long documents is LongShareLow in the first half of each Period, and LongShareHigh
	// in the second.
	LongShareLow, LongShareHigh float64
	Period                      time.Duration
	LongPrefixBlocks            int  // cache blocks of the prefix that a workspace's long documents share
	Return                      bool // retry a refused request after the delay that the refusal gives
	Resend                      bool // retry a request whose connection was cut
	// Engines and Endpoints are the fakes whose executed work is audited at the end.
	Engines   []string
	Endpoints []string
}

// kind is the kind of a request, a row of the report.
type kind int

const (
	kindShort kind = iota
	kindLong
	kindLookup
	kindCommit
	kindCount
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
