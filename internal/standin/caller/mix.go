package caller

import (
	"fmt"
	"math/rand/v2"
	"time"

	"fescuestand/internal/driver/httpdriver/httpapi"
	"fescuestand/internal/standin/oracle"
)

const (
	minShortWords  = 10
	moreShortWords = 60
	longTailWords  = 150
	minWordBytes   = 3      // shortest word of the oracle and its space
	mixStream      = 0x5eed // keeps the mix apart from other uses of the seed
)

// request is one request of the mix.
type request struct {
	id        string
	kind      kind
	caller    string
	workspace string
	prompt    string // of a generate request
	maxTokens int
	seed      uint64
	body      string // of a call
	key       string // of a commit
}

// request returns the n-th request, sent after the run's start. Its kind
// depends on the time, everything else on the seed and n only.
func (c *Config) request(n int, after time.Duration) *request {
	rng := rand.New(rand.NewPCG(c.Seed^mixStream, uint64(n)))
	r := &request{
		id:        fmt.Sprintf("r-%x-%d", c.Seed, n),
		caller:    fmt.Sprintf("caller-%d", n%max(1, c.Callers)),
		workspace: fmt.Sprintf("workspace-%d", rng.IntN(max(1, c.Workspaces))),
		seed:      rng.Uint64(),
	}
	r.kind = c.pick(rng, after)
	switch r.kind {
	case kindShort:
		r.maxTokens = max(1, c.Short.MaxTokens/2+rng.IntN(c.Short.MaxTokens/2+1))
		r.prompt = words("question "+r.id, minShortWords+rng.IntN(moreShortWords))
	case kindLong:
		r.maxTokens = max(1, c.Long.MaxTokens/2+rng.IntN(c.Long.MaxTokens/2+1))
		r.prompt = c.document(r.workspace) + words("lot "+r.id, longTailWords)
	case kindLookup:
		r.body = fmt.Sprintf(`{"crate":"%s"}`, r.id)
	default:
		r.body = fmt.Sprintf(`{"pallet":"%s"}`, r.id)
		r.key = "key-" + r.id
	}
	return r
}

func (c *Config) pick(rng *rand.Rand, after time.Duration) kind {
	share := rng.Float64()
	if c.Service.Name != "" {
		if share < c.CommitShare {
			return kindCommit
		}
		if share < c.CommitShare+c.LookupShare {
			return kindLookup
		}
	}
	long := c.LongLow
	if c.Period > 0 && after%c.Period >= c.Period/2 {
		long = c.LongHigh
	}
	if rng.Float64() < long {
		return kindLong
	}
	return kindShort
}

// document returns the prefix that all long requests of a workspace share.
func (c *Config) document(workspace string) string {
	size := c.LongPieces * httpapi.BlockBytes
	return words("manifest "+workspace, size/minWordBytes)[:size]
}

// words returns a text of n words that starts with the title.
func words(title string, n int) string {
	return title + ": " + string(oracle.New("words", "", "", []byte(title), 0).Text(0, n))
}
