package route

import (
	"time"

	"fescuestand/internal/clock"
)

// handOver adds a prefill engine to d if prefilling there and moving the KV
// cache is faster than prefilling at the engine that decodes.
//
// The transfer must take less than the recomputation, or the network is spent
// for nothing; and the whole way must be shorter, or the request waits in the
// prefill engine's queue while its own engine idles.
func (r *Router) handOver(now clock.Time, req *Request, ws uint64, s *set, d *Decision) {
	if len(s.eps) == 0 || d.Endpoint.Role == Prefill || req.Isolate {
		return
	}
	transfer := r.transferTime(req.Prompt)
	recompute := d.unloaded
	if transfer >= recompute {
		return
	}
	c, ok := r.choose(now, req, ws, s)
	if !ok {
		return
	}
	if c.ep.far != d.Endpoint.far {
		transfer += r.cfg.ZoneCost
	}
	wait, run := r.estimate(now, req, c.ep, c.cached)
	decodeWait := d.expected - d.unloaded
	if time.Duration(wait+run)+transfer >= decodeWait+recompute {
		return
	}
	d.Prefill = r.decide(now, req, c).Dispatch
	d.Transfer = transfer
	// What remains for the decoding engine is the import.
	d.work = 0
	d.unloaded = transfer
	d.expected = transfer + decodeWait
}

// transferTime is the time to export, move and import the KV cache of a
// prompt. Pieces that the decoding engine has cached are moved all the same.
func (r *Router) transferTime(tokens int) time.Duration {
	bytes := float64(tokens) * float64(r.cfg.KVBytes)
	return r.cfg.KVSetup + time.Duration(bytes/r.cfg.KVBandwidth*float64(time.Second))
}
