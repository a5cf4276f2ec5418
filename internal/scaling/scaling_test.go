package scaling

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

// fakeProvider records its orders and fails the next ones with the errors in fail.
type fakeProvider struct {
	orders []string
	fail   []error
}

func (p *fakeProvider) Scale(_ context.Context, o Order, fence int64) error {
	kind := "regular"
	if o.Spot {
		kind = "spot"
	}
	p.orders = append(p.orders, fmt.Sprintf("%s %s %d fence %d", o.Zone, kind, o.Count, fence))
	if len(p.fail) == 0 {
		return nil
	}
	err := p.fail[0]
	p.fail = p.fail[1:]
	return err
}

// takeOrders returns the orders since the last call.
func (p *fakeProvider) takeOrders() []string {
	out := p.orders
	p.orders = nil
	return out
}

// fleet is one service in two zones.
type fleet struct {
	clock    *clock.Manual
	store    *catalog.Store
	provider *fakeProvider
	unit     *Unit
	required float64
	leading  bool
	started  int
}

func newFleet(regular int) *fleet {
	f := &fleet{clock: &clock.Manual{T: clock.Time(time.Hour)}, provider: &fakeProvider{}, leading: true}
	f.store = catalog.NewStore(f.clock)
	f.unit = &Unit{
		Catalog: f.store, Provider: f.provider, Clock: f.clock,
		RequiredEndpoints: func(string) float64 { return f.required }, MayAct: func() (int64, bool) { return 7, f.leading },
	}
	f.unit.resetOrders()
	f.store.SetConfig(catalog.NewConfig(1, nil, []*catalog.Service{
		{Name: "m", Scaling: &catalog.Scaling{Min: 1, Max: 20, BootTime: 4 * time.Second, SpotPrice: 0.2, ZonePrices: map[string]float64{"a": 1, "b": 2}}},
		{Name: "n"},
	}))
	f.start("a", false, regular)
	f.start("b", false, regular)
	return f
}

func (f *fleet) start(zone string, spot bool, n int) {
	for range n {
		f.started++
		f.store.SetEndpoint(&catalog.Endpoint{ID: fmt.Sprint(f.started), Service: "m", Address: "x", Zone: zone, Spot: spot})
	}
}

func (f *fleet) runPass(t *testing.T, after time.Duration) []string {
	t.Helper()
	f.clock.T = f.clock.T.Add(after)
	f.unit.runPass(t.Context())
	return f.provider.takeOrders()
}

func TestOrdersAreSentOnceAndRetriedWithoutEffect(t *testing.T) {
	f := newFleet(4)
	assert.DeepEqual(t, f.runPass(t, 0), []string{"a spot 6 fence 7", "b spot 6 fence 7"})
	assert.Equal(t, len(f.runPass(t, time.Second)), 0)
	assert.DeepEqual(t, f.runPass(t, 4*time.Second+retryMargin), []string{"a spot 6 fence 7", "b spot 6 fence 7"})
	f.start("a", true, 6)
	f.start("b", true, 6)
	assert.DeepEqual(t, f.runPass(t, time.Second), []string{"a regular 3 fence 7", "b regular 1 fence 7"})
}

func TestUnansweredOrderIsRetriedInNextPass(t *testing.T) {
	f := newFleet(4)
	f.provider.fail = []error{errors.New("cut")}
	assert.DeepEqual(t, f.runPass(t, 0), []string{"a spot 6 fence 7", "b spot 6 fence 7"})
	assert.DeepEqual(t, f.runPass(t, planInterval), []string{"a spot 6 fence 7"})
}

// Guards against ordering spot endpoints in each pass from a zone that has none, and against a
// shortfall there that no other zone makes up for.
func TestUnavailableZoneIsCompensatedAndRetriedLater(t *testing.T) {
	f := newFleet(4)
	f.provider.fail = []error{ErrNoneAvailable}
	assert.DeepEqual(t, f.runPass(t, 0), []string{"a spot 6 fence 7", "b spot 6 fence 7"})
	assert.DeepEqual(t, f.runPass(t, planInterval), []string{"b spot 12 fence 7"})
	assert.Equal(t, len(f.runPass(t, planInterval)), 0)
	assert.DeepEqual(t, f.runPass(t, 2*time.Second), []string{"a spot 6 fence 7"})
}

// Guards against orders from a VM that isn't the leader, and against a new term that relies on
// orders of an earlier one.
func TestOnlyLeaderSendsOrders(t *testing.T) {
	f := newFleet(4)
	f.leading = false
	assert.Equal(t, len(f.runPass(t, 0)), 0)
	f.leading = true
	assert.Equal(t, len(f.runPass(t, planInterval)), 2)
	f.leading = false
	assert.Equal(t, len(f.runPass(t, planInterval)), 0)
	f.leading = true
	assert.Equal(t, len(f.runPass(t, planInterval)), 2)
}

func TestServicesWithoutScalingGetNoOrders(t *testing.T) {
	f := newFleet(0)
	for i := range 3 {
		f.store.SetEndpoint(&catalog.Endpoint{ID: fmt.Sprint("n", i), Service: "n", Address: "x", Zone: "a"})
	}
	assert.Equal(t, len(f.runPass(t, 0)), 0)
}
