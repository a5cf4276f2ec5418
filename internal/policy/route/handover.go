package route

import (
	"time"

	"fescuestand/internal/clock"
)

// pickHandoff chooses one engine for the prefill and another for the decode, which receives the KV
// cache.
func (r *Router) pickHandoff(now clock.Time, req *Request, wsHash uint64, m *cellMembers) (Decision, bool) {
	prefiller, ok := r.chooseFrom(now, req, wsHash, &m.prefill)
	if !ok {
		return Decision{}, false
	}
	decodeReq := *req
	decodeReq.Prefilled = true
	decoder, ok := r.chooseFrom(now, &decodeReq, wsHash, &m.decode)
	if !ok {
		return Decision{}, false
	}
	d := r.newDecision(now, &decodeReq, decoder)
	prefill := r.newDecision(now, req, prefiller)
	d.Prefill = prefill.Dispatch
	d.Reason, d.Cached = prefill.Reason, prefill.Cached
	d.Score += prefill.Score
	return d, true
}

// handoffPays reports whether a handoff is better than serving the request on one engine. Both
// conditions must hold:
//
//   - The transfer takes less time than computing the KV cache there; otherwise it uses the network
//     without benefit.
//   - The total time to the first token is lower; otherwise the request waits in the prefill
//     engine's queue while the other engine idles.
func (r *Router) handoffPays(req *Request, direct, handoff *Decision) bool {
	if r.transferTime(req.PromptTokens) >= direct.unloadedTime {
		return false
	}
	return handoff.Score < direct.Score
}

// transferTime returns the time to export, transfer and import the KV cache of a prompt. Blocks
// that the decode engine already caches are transferred as well.
func (r *Router) transferTime(tokens int) time.Duration {
	bytes := float64(tokens) * float64(r.cfg.KVBytesPerToken)
	return r.cfg.KVTransferOverhead + time.Duration(bytes/r.cfg.KVBandwidth*float64(time.Second))
}
