package route

import (
	"time"

	"fescuestand/internal/clock"
)

// handOver chooses an engine to prefill and one to answer with the KV cache
// moved over.
func (r *Router) handOver(now clock.Time, req *Request, ws uint64, m *members) (Decision, bool) {
	first, ok := r.choose(now, req, ws, &m.prefill)
	if !ok {
		return Decision{}, false
	}
	moved := *req
	moved.Prefilled = true
	second, ok := r.choose(now, &moved, ws, &m.decode)
	if !ok {
		return Decision{}, false
	}
	d := r.decide(now, &moved, second)
	p := r.decide(now, req, first)
	d.Prefill = p.Dispatch
	d.Reason, d.Cached = p.Reason, p.Cached
	d.Score += p.Score
	return d, true
}

// pays says whether a hand-over is better than the answer from one engine.
//
// The transfer must take less than the recomputation, or the network is spent
// for nothing; and the whole way must be shorter, or the request waits in the
// prefill engine's queue while its own engine idles.
func (r *Router) pays(req *Request, direct, split *Decision) bool {
	if r.transferTime(req.PromptTokens) >= direct.unloaded {
		return false
	}
	return split.Score < direct.Score
}

// transferTime is the time to export, move and import the KV cache of a
// prompt. Pieces that the decoding engine has cached are moved all the same.
func (r *Router) transferTime(tokens int) time.Duration {
	bytes := float64(tokens) * float64(r.cfg.KVBytesPerToken)
	return r.cfg.KVTransferOverhead + time.Duration(bytes/r.cfg.KVBandwidth*float64(time.Second))
}
