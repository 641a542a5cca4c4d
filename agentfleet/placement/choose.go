package placement

import (
	"slices"

	"github.com/ryeford/ryeford"
)

// choose gives each demand its engines: first those that serve its base already, in
// their order, then others, spread over failure domains.
func choose(engines []Engine, demands []*demand) map[ryeford.EngineID]*demand {
	chosen := make(map[ryeford.EngineID]*demand)
	have := make(map[*demand]int)
	for i := range engines {
		e := &engines[i]
		for _, d := range demands {
			if have[d] < d.engines && serves(e, d.base) {
				chosen[e.ID] = d
				have[d]++
				break
			}
		}
	}
	for _, d := range demands {
		for have[d] < d.engines {
			e := pick(engines, d, chosen)
			if e == nil {
				break
			}
			chosen[e.ID] = d
			have[d]++
		}
	}
	return chosen
}

// pick returns a free engine for a demand, of the failure domain that has the fewest of
// the demand's engines; of those, the first. It returns nil if none is free.
func pick(engines []Engine, d *demand, chosen map[ryeford.EngineID]*demand) *Engine {
	inDomain := make(map[string]int)
	for i := range engines {
		if chosen[engines[i].ID] == d {
			inDomain[engines[i].Domain]++
		}
	}
	var best *Engine
	for i := range engines {
		e := &engines[i]
		if chosen[e.ID] != nil {
			continue
		}
		if best == nil || inDomain[e.Domain] < inDomain[best.Domain] {
			best = e
		}
	}
	return best
}

// serves reports whether an engine has a base loaded.
func serves(e *Engine, b base) bool {
	return slices.ContainsFunc(e.Pools, func(p ryeford.Pool) bool {
		return p.Model == b.model && p.Version == b.version
	})
}
