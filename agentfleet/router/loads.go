package router

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/load"
)

const (
	// meanWindow is how old a load may be that counts in a mean.
	meanWindow = time.Second

	// skewWindow is how old a load may be that counts in the skew that is shown to
	// operators: no decision rests on it.
	skewWindow = 10 * time.Second
)

// loads are the engines' loads as agents report them, in replies and in gossip. A load
// is the number of requests that run.
type loads struct {
	mu    sync.Mutex
	means map[string]*load.Mean // by model
	last  map[ryeford.EngineID]engineLoad
}

// An engineLoad is the load that an engine had last.
type engineLoad struct {
	at    time.Time
	model string
	load  float64
}

// newLoads returns loads without any.
func newLoads() *loads {
	return &loads{
		means: make(map[string]*load.Mean),
		last:  make(map[ryeford.EngineID]engineLoad),
	}
}

// add adds a load of some engine of a model.
func (l *loads) add(now time.Time, model string, value float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mean(model).Add(now, value)
}

// addProbe adds the load that a request's candidate had.
func (l *loads) addProbe(now time.Time, model string, engine ryeford.EngineID, probes *load.Probes, value float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	probes.Add(value)
	l.mean(model).Add(now, value)
	l.last[engine] = engineLoad{at: now, model: model, load: value}
}

// probedMean returns the mean load of a model's engines, as a request with these probes
// is to take it.
func (l *loads) probedMean(now time.Time, model string, probes *load.Probes) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	estimate := l.mean(model)
	return probes.Mean(estimate.Value(now), estimate.Count(now))
}

// mean returns the estimate of a model's mean load.
func (l *loads) mean(model string) *load.Mean {
	m, ok := l.means[model]
	if !ok {
		m = load.NewMean(meanWindow)
		l.means[model] = m
	}
	return m
}

// skew returns the load of a model's busiest engine over the mean of its engines, for the
// model with the highest such ratio, and zero if there are no loads.
func (l *loads) skew(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	type total struct{ sum, count, busiest float64 }
	totals := make(map[string]total)
	for engine, e := range l.last {
		if now.Sub(e.at) > skewWindow {
			delete(l.last, engine)
			continue
		}
		t := totals[e.model]
		t.sum += e.load
		t.count++
		t.busiest = max(t.busiest, e.load)
		totals[e.model] = t
	}
	skew := 0.0
	for _, t := range totals {
		if t.sum > 0 {
			skew = max(skew, t.busiest*t.count/t.sum)
		}
	}
	return skew
}
