package router

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/load"
)

const (
	// meanWindow is the maximum age of a load that counts in a mean.
	meanWindow = time.Second

	// skewWindow is the maximum age of a load that counts in the skew, which is only
	// shown to operators.
	skewWindow = 10 * time.Second
)

// loads are the engines' loads as the agents report them in replies and gossip. A load
// is the number of running requests.
type loads struct {
	mu    sync.Mutex
	means map[string]*load.Mean // by model
	last  map[ryeford.EngineID]engineLoad
}

// An engineLoad is the last reported load of an engine.
type engineLoad struct {
	at    time.Time
	model string
	load  float64
}

func newLoads() *loads {
	return &loads{
		means: make(map[string]*load.Mean),
		last:  make(map[ryeford.EngineID]engineLoad),
	}
}

// add records a load of an engine that serves the model.
func (l *loads) add(now time.Time, model string, value float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mean(model).Add(now, value)
}

// addProbe records the load of a request's candidate.
func (l *loads) addProbe(now time.Time, model string, engine ryeford.EngineID, probes *load.Probes, value float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	probes.Add(value)
	l.mean(model).Add(now, value)
	l.last[engine] = engineLoad{at: now, model: model, load: value}
}

// probedMean returns the mean load of a model's engines, adjusted by the probes of a
// request.
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

// skew returns the load of a model's busiest engine divided by the mean of its engines,
// for the model where this ratio is highest. Without loads it is zero.
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
