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

// provider keeps the orders that it is given, and fails the next ones as told.
type provider struct {
	orders []string
	fail   []error
}

func (p *provider) Scale(_ context.Context, o Order, fence int64) error {
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

// take returns the orders since the last call.
func (p *provider) take() []string {
	out := p.orders
	p.orders = nil
	return out
}

// fleet is one service in two zones.
type fleet struct {
	clock    *clock.Manual
	store    *catalog.Store
	provider *provider
	unit     *Unit
	need     float64
	holds    bool
	started  int
}

func newFleet(regular int) *fleet {
	f := &fleet{clock: &clock.Manual{T: clock.Time(time.Hour)}, provider: &provider{}, holds: true}
	f.store = catalog.NewStore(f.clock)
	f.unit = &Unit{
		Catalog: f.store, Provider: f.provider, Clock: f.clock,
		Need: func(string) float64 { return f.need }, May: func() (int64, bool) { return 7, f.holds },
	}
	f.unit.forget()
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

func (f *fleet) look(t *testing.T, after time.Duration) []string {
	t.Helper()
	f.clock.T = f.clock.T.Add(after)
	f.unit.look(t.Context())
	return f.provider.take()
}

func TestOrdersAreGivenOnceAndRepeatedWhenTheyHaveNoEffect(t *testing.T) {
	f := newFleet(4)
	assert.DeepEqual(t, f.look(t, 0), []string{"a spot 6 fence 7", "b spot 6 fence 7"})
	assert.Equal(t, len(f.look(t, time.Second)), 0)
	assert.DeepEqual(t, f.look(t, 4*time.Second+againAfter), []string{"a spot 6 fence 7", "b spot 6 fence 7"})
	f.start("a", true, 6)
	f.start("b", true, 6)
	assert.DeepEqual(t, f.look(t, time.Second), []string{"a regular 3 fence 7", "b regular 1 fence 7"})
}

func TestACallWithoutAnswerIsRepeatedAtTheNextLook(t *testing.T) {
	f := newFleet(4)
	f.provider.fail = []error{errors.New("cut")}
	assert.DeepEqual(t, f.look(t, 0), []string{"a spot 6 fence 7", "b spot 6 fence 7"})
	assert.DeepEqual(t, f.look(t, period), []string{"a spot 6 fence 7"})
}

// Guards against a zone without spot endpoints that is asked with each look, and whose share nobody makes up for.
func TestAZoneThatHasNoneIsMadeUpForAndAskedLater(t *testing.T) {
	f := newFleet(4)
	f.provider.fail = []error{ErrNoneAvailable}
	assert.DeepEqual(t, f.look(t, 0), []string{"a spot 6 fence 7", "b spot 6 fence 7"})
	assert.DeepEqual(t, f.look(t, period), []string{"b spot 12 fence 7"})
	assert.Equal(t, len(f.look(t, period)), 0)
	assert.DeepEqual(t, f.look(t, 2*time.Second), []string{"a spot 6 fence 7"})
}

// Guards against orders of a VM that doesn't hold the duty, and against old orders that a new holding goes by.
func TestOnlyTheHolderOrders(t *testing.T) {
	f := newFleet(4)
	f.holds = false
	assert.Equal(t, len(f.look(t, 0)), 0)
	f.holds = true
	assert.Equal(t, len(f.look(t, period)), 2)
	f.holds = false
	assert.Equal(t, len(f.look(t, period)), 0)
	f.holds = true
	assert.Equal(t, len(f.look(t, period)), 2)
}

func TestServicesThatAreNotRentedAreLeftAlone(t *testing.T) {
	f := newFleet(0)
	for i := range 3 {
		f.store.SetEndpoint(&catalog.Endpoint{ID: fmt.Sprint("n", i), Service: "n", Address: "x", Zone: "a"})
	}
	assert.Equal(t, len(f.look(t, 0)), 0)
}
