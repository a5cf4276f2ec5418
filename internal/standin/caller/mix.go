package caller

import (
	"fmt"
	"math/rand/v2"
	"time"

	"fescuestand/internal/driver/httpdriver/httpapi"
	"fescuestand/internal/standin/oracle"
)

const (
	minShortWords   = 10
	extraShortWords = 60
	longSuffixWords = 150
	minWordBytes    = 3      // the oracle's shortest word and its space
	mixSeedMask     = 0x5eed // separates the mix from other uses of the seed
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
	body      string // of a service call
	key       string // idempotency key of a commit
}

// request returns the n-th request. Its kind also depends on the time after the run's start at which it
// is sent; everything else depends on the seed and n only.
func (c *Config) request(n int, after time.Duration) *request {
	rng := rand.New(rand.NewPCG(c.Seed^mixSeedMask, uint64(n)))
	r := &request{
		id:        fmt.Sprintf("r-%x-%d", c.Seed, n),
		caller:    fmt.Sprintf("caller-%d", n%max(1, c.Callers)),
		workspace: fmt.Sprintf("workspace-%d", rng.IntN(max(1, c.Workspaces))),
		seed:      rng.Uint64(),
	}
	r.kind = c.pickKind(rng, after)
	switch r.kind {
	case kindShort:
		r.maxTokens = max(1, c.Short.MaxTokens/2+rng.IntN(c.Short.MaxTokens/2+1))
		r.prompt = words("question "+r.id, minShortWords+rng.IntN(extraShortWords))
	case kindLong:
		r.maxTokens = max(1, c.Long.MaxTokens/2+rng.IntN(c.Long.MaxTokens/2+1))
		r.prompt = c.longPrefix(r.workspace) + words("lot "+r.id, longSuffixWords)
	case kindLookup:
		r.body = fmt.Sprintf(`{"crate":"%s"}`, r.id)
	default:
		r.body = fmt.Sprintf(`{"pallet":"%s"}`, r.id)
		r.key = "key-" + r.id
	}
	return r
}

func (c *Config) pickKind(rng *rand.Rand, after time.Duration) kind {
	sample := rng.Float64()
	if c.Service.Name != "" {
		if sample < c.CommitShare {
			return kindCommit
		}
		if sample < c.CommitShare+c.LookupShare {
			return kindLookup
		}
	}
	longShare := c.LongShareLow
	if c.Period > 0 && after%c.Period >= c.Period/2 {
		longShare = c.LongShareHigh
	}
	if rng.Float64() < longShare {
		return kindLong
	}
	return kindShort
}

// longPrefix returns the prompt prefix that all long requests of a workspace share.
func (c *Config) longPrefix(workspace string) string {
	size := c.LongPrefixBlocks * httpapi.BlockBytes
	return words("manifest "+workspace, size/minWordBytes)[:size]
}

// words returns a text of n words that starts with the title.
func words(title string, n int) string {
	return title + ": " + string(oracle.New("words", "", "", []byte(title), 0).Text(0, n))
}
