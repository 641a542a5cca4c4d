package router

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/load"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// TestFleet checks which agents' engines are candidates, and which are found at all.
func TestFleet(t *testing.T) {
	first, second := &transport.Conn{}, &transport.Conn{}
	for _, test := range []struct {
		name              string
		change            func(f *fleet, a *agent)
		candidates, found bool
	}{
		{"connected", func(*fleet, *agent) {}, true, true},
		{"leaving, as reported by the agent", func(f *fleet, a *agent) {
			leaving, inventory := *a, *a.inventory
			inventory.Leaving = true
			leaving.inventory = &inventory
			f.put(&leaving)
		}, false, true},
		{"leaving, as listed by the platform", func(f *fleet, a *agent) {
			vm := a.vm
			vm.State = ryeford.VMLeaving
			f.setVM(vm)
		}, false, true},
		{"its engine backs off", func(f *fleet, a *agent) {
			backingOff, inventory := *a, *a.inventory
			inventory.Engines = slices.Clone(inventory.Engines)
			inventory.Engines[0].BackingOff = true
			backingOff.inventory = &inventory
			f.put(&backingOff)
		}, false, true},
		{"connection lost", func(f *fleet, a *agent) { f.remove(a.vm.ID, first) }, false, false},
		{"an earlier connection lost", func(f *fleet, a *agent) {
			reconnected := *a
			reconnected.conn = second
			f.put(&reconnected)
			f.remove(a.vm.ID, first)
		}, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet()
			a := testAgent("endpoint-1", "lira")
			a.conn = first
			f.put(a)
			test.change(f, a)
			set := f.pool(ryeford.Pool{Model: "lira"})
			assert.Equal(t, set != nil && set.Len() == 1, test.candidates)
			_, found := f.agentOfEngine("endpoint-1.1")
			assert.Equal(t, found, test.found)
		})
	}
}

// TestServiceBackingOff checks that a service stays known while all its instances back
// off, so that callers don't get the error for an unknown service.
func TestServiceBackingOff(t *testing.T) {
	f := newFleet()
	a := testAgent("endpoint-1", "lira")
	inventory := *a.inventory
	inventory.Engines = append(slices.Clone(inventory.Engines), wire.EngineState{ID: "endpoint-1.notes", Service: "notes", BackingOff: true})
	a.inventory = &inventory
	f.put(a)
	assert.Assert(t, f.service("notes") != nil)
	assert.Equal(t, f.service("notes").Len(), 0)
	assert.Assert(t, f.service("another") == nil)
}

// TestSkew checks the ratio of the busiest engine's load to its model's mean.
func TestSkew(t *testing.T) {
	type sample struct {
		engine ryeford.EngineID
		model  string
		load   float64
	}
	for _, test := range []struct {
		name    string
		samples []sample
		want    float64
	}{
		{"no load", nil, 0},
		{"idle", []sample{{"a", "lira", 0}, {"b", "lira", 0}}, 0},
		{"even", []sample{{"a", "lira", 2}, {"b", "lira", 2}}, 1},
		{"one engine busier", []sample{{"a", "lira", 6}, {"b", "lira", 2}}, 1.5},
		{"the last load of an engine counts", []sample{{"a", "lira", 9}, {"a", "lira", 2}, {"b", "lira", 2}}, 1},
		{"the model with the highest ratio", []sample{{"a", "lira", 2}, {"b", "lira", 2}, {"c", "psalm", 6}, {"d", "psalm", 2}}, 1.5},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newLoads()
			now := time.Unix(1_000_000, 0)
			for _, s := range test.samples {
				l.addProbe(now, s.model, s.engine, &load.Probes{}, s.load)
			}
			assert.Equal(t, l.skew(now.Add(skewWindow)), test.want)
			assert.Equal(t, l.skew(now.Add(skewWindow+1)), 0.0)
		})
	}
}
