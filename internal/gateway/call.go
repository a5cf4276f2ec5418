// Package gateway is the HTTP handler for callers' requests. It finds the route, admits the
// request, chooses endpoints, sends the request, retries it where that is safe and returns the
// answer.
//
// Request and answer bodies are opaque bytes. A Codec reads the metadata that the gateway needs
// from the headers. Streams are the exception: they are split into server-sent events, so that only
// whole events are forwarded and a stream can be resumed at another engine.
//
// Guarantees:
//   - A request that may have run is retried only if its route allows that, and within the retry
//     budget.
//   - A caller gets a status that says that its request hasn't run only if that is certain.
//   - Only signed answers to the caller's own request are returned as successes.
//   - Each send of a call is preceded by a check of the endpoint's catalog entry and announced
//     limit.
//
// Concurrency: each call runs in the goroutine of its HTTP request. State that calls share has
// locks of its own.
//
// The package also holds what gateways exchange by gossip (GossipContent, Changes).
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
	ID              string // unique to this request; a retry by the caller has another one
	Method          string
	Target          string // path and query, unchanged
	Path            string
	Host            string
	Header          http.Header // to be sent to the endpoint
	Body            []byte
	Arrived         clock.Time
	CallerTimeout   time.Duration // how long the caller waits, zero if it didn't state it
	PromptTokens    int           // zero for a call of a plain service
	MaxOutputTokens int           // tokens, zero if the caller stated no limit
	Parts           []place.Part
	LastEventID     string   // the last event of the stream that the caller has received
	Resumes         string   // id of the caller's attempt that brought the stream's first event, empty for a new stream
	Fingerprint     uint64   // the same for all retries of a request by its caller
	SharedParts     []uint64 // ids of the prompt's parts but the last one, which belongs to this request
	Trial           bool     // shows whether a quarantined prompt part still crashes endpoints
	Relayed         bool     // another VM, which reaches no endpoint, has sent it

	HasKey    bool // the caller sent an API key
	Key       workspace.Digest
	Workspace *workspace.Workspace // to which the key belongs, nil if the request needs no key

	claim *bodyClaim // of Body, nil before the body is read
}

// EndpointRequest describes one request to an endpoint.
type EndpointRequest struct {
	Endpoint      *catalog.Endpoint
	RemainingTime time.Duration // until the call's deadline
	UrgencyRank   int           // requests of rank 0 are served first
	PrefillOnly   bool          // prefill only, and keep the KV cache for a transfer
	Handoff       *Handoff      // KV cache to fetch and continue from
	FetchFrom     string        // address of the engine from which to fetch cached parts of the prompt
	LastEventID   string        // the stream resumes after this event
}

// Handoff identifies a KV cache that an engine keeps for a transfer.
type Handoff struct {
	Holder *catalog.Endpoint
	Handle string
}

// Codec translates between calls and the platform's HTTP headers and bodies.
type Codec interface {
	// RequestID returns the id of r, "" if it has none.
	RequestID(r *http.Request) string
	// Decode reads a call from the headers of r. An error means that the caller sent invalid
	// headers.
	Decode(r *http.Request) (*Call, error)
	// Header returns the headers of the request to the endpoint.
	Header(c *Call, s *EndpointRequest) http.Header
	// Relay returns the headers with which r is sent to another VM. It removes what only this VM may
	// say, and marks the request as relayed.
	Relay(r *http.Request, remaining time.Duration) http.Header
	// Answer reads the metadata in the headers of an endpoint's response.
	Answer(c *Call, status int, h http.Header) Answer
	// ResponseID returns the id of the request that an endpoint's response bears, "" if it bears none.
	ResponseID(h http.Header) string
	// ParseHandoff reads the KV cache's handle from the body of the answer to a prefill.
	ParseHandoff(body []byte) (handle string, err error)
	// Release returns the request that releases a KV cache that no engine will use.
	Release(handle string) (method, target string)
	// LifeCheck returns a request that an engine answers at once, whatever it works on.
	LifeCheck() (method, target string)
	// ParseBorn returns from the body of the answer to a LifeCheck when the engine's process was started, in Unix
	// milliseconds, zero if that isn't known.
	ParseBorn(body []byte) int64
}

// Answer is the metadata of an endpoint's response.
type Answer struct {
	NotRun       bool // the endpoint says that it didn't run the request
	Misdirected  bool // with NotRun: the address now belongs to another process or stage
	Signed       bool // the response has the endpoint's signature
	OtherRequest bool // the response belongs to another request
	Requests     int  // running and waiting at the endpoint, -1 if it doesn't say
	// Slowdown is how long work takes at the endpoint at this moment: 1 as usual, 2 twice as long. It is 0 if
	// the endpoint doesn't say, and negative if what it says isn't a positive number.
	Slowdown float64
	Notice   backpressure.Notice
}
