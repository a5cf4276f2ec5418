package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"

	"fescuestand/internal/code"
	"fescuestand/internal/driver"
	"fescuestand/internal/exchange"
)

// cutOffHeader is set in the refusal of a relayed request by a VM that is cut off as well.
const cutOffHeader = "Fescue-Cut-Off"

// maxRelayTargets is the number of other VMs that a request is sent to before it is refused: one may have
// been lost, or be cut off too.
const maxRelayTargets = 3

// relay has another VM serve the request if this one reaches no endpoint, and reports whether it did. A
// request that an endpoint may have run isn't relayed. The other VM handles it as a caller's: it checks
// the key, counts the request and limits retries.
func (x *execution) relay() (relayed bool, last result) {
	if x.runs > 0 || x.prefillDone || x.headerSent || !x.g.o.CutOff() {
		return false, result{}
	}
	if x.call.Relayed {
		x.w.Header().Set(cutOffHeader, "1")
		return true, result{outcome: refused, code: code.EndpointCut, err: errCutOff}
	}
	if r, refuse := x.refuseInDrain(""); refuse {
		return true, r
	}
	targets := x.g.o.RelayTargets()
	if len(targets) == 0 {
		return false, result{} // the endpoints are out of every VM's reach
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	for _, address := range targets[:min(len(targets), maxRelayTargets)] {
		last = x.relayTo(address)
		x.attempts = append(x.attempts, attemptTrace{endpoint: address, outcome: last.outcome.String()})
		if last.outcome != notSent && last.outcome != notRun {
			break
		}
	}
	return true, last
}

// relayTo sends the request to another VM and forwards its answer.
func (x *execution) relayTo(address string) result {
	if x.ctx.Err() != nil {
		return result{outcome: gone}
	}
	upload, r, ok := x.beginUpload(address)
	if !ok {
		return r
	}
	resp, err := x.g.o.RelayPool.Do(x.ctx, address, &exchange.Request{
		Method: x.call.Method, Target: x.call.Target, Host: x.call.Host,
		Header: x.g.o.Codec.Relay(x.request, x.remainingTime()), Body: x.call.Body, NoRetry: !x.route.Retryable(),
	})
	upload.End()
	switch {
	case errors.Is(err, driver.ErrNotSent) && x.ctx.Err() == nil:
		return result{outcome: notSent, code: code.EndpointCut, err: err}
	case errors.Is(err, driver.ErrNotSent):
		return result{outcome: gone, err: err}
	case err != nil:
		x.runs++ // the other VM may have had an endpoint run it
		return x.lostRelay(err)
	}
	defer resp.Close()
	if resp.Header.Get(cutOffHeader) != "" {
		return result{outcome: notRun, code: code.EndpointCut, err: errCutOff}
	}
	x.runs++
	if success := resp.Status >= 200 && resp.Status < 300; success {
		switch ans := x.g.o.Codec.Answer(x.call, resp.Status, resp.Header); {
		case !ans.Signed:
			return result{outcome: lost, code: code.BadAnswer, err: errUnsigned}
		case ans.OtherRequest:
			return result{outcome: lost, code: code.BadAnswer, err: errOtherRequest}
		}
	}
	return x.forwardAnswer(resp)
}

func (x *execution) lostRelay(err error) result {
	if x.ctx.Err() != nil {
		return result{outcome: gone, err: err}
	}
	if exceeded := exceededBound(err); exceeded != nil {
		return result{outcome: lost, code: exceededCode(exceeded), err: err}
	}
	return result{outcome: lost, code: code.EndpointCut, err: err}
}

// forwardAnswer sends the answer of another VM to the caller as it arrives.
func (x *execution) forwardAnswer(resp *exchange.Response) result {
	if !x.answerClaim.CompareAndSwap(0, claimedByEndpoint) {
		return result{outcome: gone}
	}
	copyHeader(x.w.Header(), resp.Header)
	if resp.Length >= 0 {
		x.w.Header()["Content-Length"] = resp.Header["Content-Length"]
	}
	x.headerSent = true
	x.w.WriteHeader(resp.Status)
	if err := forwardBody(x.w, resp.Body); err != nil {
		return x.lostRelay(err)
	}
	if !resp.Framed {
		return x.lostRelay(io.ErrUnexpectedEOF)
	}
	return result{outcome: answered}
}

// relayBufferBytes is enough for a typical answer, and for the events of a typical read.
const relayBufferBytes = 4 << 10

// forwardBody copies a body and flushes it after each read, as it may be a stream of events.
func forwardBody(w http.ResponseWriter, body io.Reader) error {
	buf := make([]byte, relayBufferBytes)
	flush := http.NewResponseController(w).Flush
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return context.Canceled
			}
			if ferr := flush(); ferr != nil {
				return context.Canceled
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
