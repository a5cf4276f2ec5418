// Package gateway serves opaque requests: it finds the route, admits, chooses
// endpoints, sends, repeats what may be repeated and passes answers on whole.
// Bodies and answers are bytes that it doesn't look into; what it needs to know
// of a request a Codec reads from the headers.
package gateway

import (
	"net/http"
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/policy/backpressure"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/workspace"
)

// Call is one request of a caller.
type Call struct {
	ID          string // of this sending; a repeat by the caller has another
	Method      string
	Target      string // path and query, byte for byte
	Path        string
	Host        string
	Header      http.Header // to be passed on
	Body        []byte
	Arrived     clock.Time
	CallerTimeout    time.Duration // how long the caller waits, zero if it didn't say
	PromptTokens      int           // of the prompt, zero for a call of a plain service
	MaxOutputTokens   int           // tokens
	Parts       []place.Part
	LastEventID   string // the caller has the events of a stream up to this one
	Fingerprint uint64 // what repeats of one request by its caller have in common

	HasKey    bool // the caller sent an API key
	Key       workspace.Digest
	Workspace *workspace.Workspace // that holds the key, nil where requests need none
}

// EndpointRequest is one exchange with an endpoint.
type EndpointRequest struct {
	Endpoint  *catalog.Endpoint
	RemainingTime      time.Duration // until the caller has no use for an answer
	UrgencyRank   int           // 0 is first
	PrefillOnly   bool          // prefill only, and keep the KV cache
	Handoff        *Handoff     // KV cache to go on from
	FetchFrom     string        // address of the engine from which to fetch what it has of the prompt
	LastEventID string        // the stream goes on after this event
}

// Handoff names a KV cache that waits at an engine.
type Handoff struct {
	Holder *catalog.Endpoint
	Handle string
}

// Codec translates between calls and the platform's HTTP.
type Codec interface {
	// Decode reads what the headers of r say. An error is the caller's.
	Decode(r *http.Request) (*Call, error)
	// Header returns the headers of the request that c becomes at an endpoint.
	Header(c *Call, s *EndpointRequest) http.Header
	// Answer reads what an endpoint's response says of itself.
	Answer(c *Call, status int, h http.Header) Answer
	// ParseHandoff reads the answer to a prefill.
	ParseHandoff(body []byte) (handle string, err error)
	// Release returns the request that frees a KV cache which nobody will use.
	Release(handle string) (method, target string)
}

// Answer is what an endpoint's response says of itself.
type Answer struct {
	NotRun   bool // the endpoint says that it didn't run the request
	Misdirected     bool // with NotRun: nor will it run any, as another process, or stage, has the address
	Signed   bool // it bears the endpoint's signature
	OtherRequest  bool // it belongs to another request
	Requests int  // running and waiting at the endpoint, -1 if it doesn't say
	Notice   backpressure.Notice
}
