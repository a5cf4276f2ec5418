package place

import (
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/policy/speed"
)

// What engines are taken for until they have answered: an order of magnitude. One that
// decodes reads prompts at half of the speed and in smaller pieces.
var (
	priorPrefill = speed.Coefficients{Fixed: 30 * time.Millisecond, PerToken: 10 * time.Microsecond, PerPair: 0.1}
	priorDecode  = speed.Coefficients{Fixed: 30 * time.Millisecond, PerToken: 25 * time.Microsecond, PerPair: 0.1}
)

const (
	// priorHandOver is the fixed time of a hand-over until one was seen, and
	// handOverStep is how far each one moves it.
	priorHandOver = 20 * time.Millisecond
	handOverStep  = 500 * time.Microsecond
)

// serviceSpeed is what is learned of a service's engines.
type serviceSpeed struct {
	prefill  *speed.Model
	decode   *speed.Model
	handOver speed.MedianEstimate // fixed time of a hand-over, beside the transfer
}

// speeds are learned by service.
type speeds map[string]*serviceSpeed

func (m speeds) of(service string) *serviceSpeed {
	s := m[service]
	if s == nil {
		s = &serviceSpeed{
			prefill: speed.New(priorPrefill), decode: speed.New(priorDecode),
			handOver: speed.NewMedianEstimate(priorHandOver, handOverStep),
		}
		m[service] = s
	}
	return s
}

// model is that of e's stage.
func (m speeds) model(e *catalog.Endpoint) *speed.Model {
	if e.Stage == catalog.Decode {
		return m.of(e.Service).decode
	}
	return m.of(e.Service).prefill
}

func (m speeds) figures(e *catalog.Endpoint) speed.Coefficients { return m.model(e).Coefficients() }

// atPrefill is the time that a prefill at e would take at an engine for prefill.
func (m speeds) atPrefill(e *catalog.Endpoint, work time.Duration) time.Duration {
	if e.Stage != catalog.Decode {
		return work
	}
	s := m.of(e.Service)
	return time.Duration(float64(work) * float64(s.prefill.Coefficients().PerToken) / float64(s.decode.Coefficients().PerToken))
}

// fixed is the time between the end of a prefill at s and its answer.
func (p *Planner) fixed(s *state) time.Duration { return p.speeds.figures(s.ep).Fixed }
