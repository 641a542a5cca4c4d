package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/route"
)

// chooseEngines assigns engines to each demand: first engines that already serve its
// base model, in their order, then free engines, spread over failure domains.
func chooseEngines(engines []Engine, demands []*demand) map[ryeford.EngineID]*demand {
	chosen := make(map[ryeford.EngineID]*demand)
	assigned := make(map[*demand]int)
	for _, e := range engines {
		needs := func(d *demand) bool { return assigned[d] < d.engines && serves(e, d.base) }
		if i := slices.IndexFunc(demands, needs); i >= 0 {
			chosen[e.ID] = demands[i]
			assigned[demands[i]]++
		}
	}
	for _, d := range demands {
		for ; assigned[d] < d.engines; assigned[d]++ {
			e := pickEngine(engines, d, chosen)
			if e == nil {
				break
			}
			chosen[e.ID] = d
		}
	}
	return chosen
}

// pickEngine returns a free engine for a demand, or nil if none is free. It prefers the
// failure domain with the fewest engines of the demand, then the first in order.
func pickEngine(engines []Engine, d *demand, chosen map[ryeford.EngineID]*demand) *Engine {
	inDomain := make(map[string]int)
	for _, e := range engines {
		if chosen[e.ID] == d {
			inDomain[e.Domain]++
		}
	}
	var best *Engine
	for i, e := range engines {
		if chosen[e.ID] == nil && (best == nil || inDomain[e.Domain] < inDomain[best.Domain]) {
			best = &engines[i]
		}
	}
	return best
}

func serves(e Engine, b baseModel) bool {
	return slices.ContainsFunc(e.Pools, func(p ryeford.Pool) bool {
		return p.Model == b.model && p.Version == b.version
	})
}

const (
	// spareFactor is the ratio of a pool's engines to its share of the engines. It
	// leaves room for a surge of the account.
	spareFactor = 2

	// minPoolEngines is the smallest number of engines for a pool, so that it survives
	// the loss of one.
	minPoolEngines = 2
)

// assignPools returns the pools of each chosen engine. poolSize determines how many of
// a demand's engines serve each of its pools, and rendezvous hashing which ones.
func assignPools(engines []Engine, demands []*demand, chosen map[ryeford.EngineID]*demand) map[ryeford.EngineID][]ryeford.Pool {
	pools := make(map[ryeford.EngineID][]ryeford.Pool)
	for _, d := range demands {
		var ids []ryeford.EngineID
		for _, e := range engines {
			if chosen[e.ID] == d {
				ids = append(ids, e.ID)
			}
		}
		for _, pool := range sortedPools(d) {
			size := poolSize(len(ids), d.pools[pool], d.share)
			for _, id := range rank(ids, pool)[:size] {
				pools[id] = append(pools[id], pool)
			}
		}
	}
	return pools
}

func sortedPools(d *demand) []ryeford.Pool {
	return slices.SortedFunc(maps.Keys(d.pools), func(a, b ryeford.Pool) int {
		return cmp.Compare(a.String(), b.String())
	})
}

// poolSize returns how many of a demand's engines serve a pool. share is the pool's
// part of the demand's total.
func poolSize(engines int, share, total float64) int {
	proportional := int(math.Ceil(float64(engines) * share / total))
	return min(max(spareFactor*proportional, minPoolEngines), engines)
}

// rank returns the engines in a pool's rendezvous order, best first.
func rank(engines []ryeford.EngineID, pool ryeford.Pool) []ryeford.EngineID {
	ranked := slices.Clone(engines)
	name := pool.String()
	slices.SortFunc(ranked, func(a, b ryeford.EngineID) int {
		return cmp.Compare(route.Score(name, b), route.Score(name, a))
	})
	return ranked
}
