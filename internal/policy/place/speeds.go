package place

import (
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/policy/speed"
)

// The coefficients that are assumed until engines have answered. They are right only in their order
// of magnitude. A decode engine prefills at half of the speed and in smaller chunks.
var (
	priorPrefill = speed.Coefficients{Fixed: 30 * time.Millisecond, PerToken: 10 * time.Microsecond, PerPair: 0.1}
	priorDecode  = speed.Coefficients{Fixed: 30 * time.Millisecond, PerToken: 25 * time.Microsecond, PerPair: 0.1}
)

const (
	// priorHandoff is the assumed fixed time of a KV cache transfer before the first one was
	// observed, and handoffStep is how far each observation moves the estimate.
	priorHandoff = 20 * time.Millisecond
	handoffStep  = 500 * time.Microsecond
)

// serviceSpeed holds the estimated speeds of a service's engines.
type serviceSpeed struct {
	prefill *speed.Model
	decode  *speed.Model
	handoff speed.MedianEstimate // fixed time of a KV cache transfer, without the time per token
}

// speeds holds the estimates by service.
type speeds map[string]*serviceSpeed

func (m speeds) of(service string) *serviceSpeed {
	s := m[service]
	if s == nil {
		s = &serviceSpeed{
			prefill: speed.New(priorPrefill), decode: speed.New(priorDecode),
			handoff: speed.NewMedianEstimate(priorHandoff, handoffStep),
		}
		m[service] = s
	}
	return s
}

// model returns the model of e's stage.
func (m speeds) model(e *catalog.Endpoint) *speed.Model {
	if e.Stage == catalog.Decode {
		return m.of(e.Service).decode
	}
	return m.of(e.Service).prefill
}

func (m speeds) coefficients(e *catalog.Endpoint) speed.Coefficients {
	return m.model(e).Coefficients()
}

// atPrefill converts the time of a prefill at e to the time that it would take at a prefill engine.
func (m speeds) atPrefill(e *catalog.Endpoint, work time.Duration) time.Duration {
	if e.Stage != catalog.Decode {
		return work
	}
	s := m.of(e.Service)
	return time.Duration(float64(work) * float64(s.prefill.Coefficients().PerToken) / float64(s.decode.Coefficients().PerToken))
}

// fixed returns the time between the end of a prefill at s and its answer.
func (p *Planner) fixed(s *endpointState) time.Duration { return p.speeds.coefficients(s.ep).Fixed }
