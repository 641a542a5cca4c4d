package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

var testLimits = Limits{PoolFactor: 1.25, Floor: 4, Capacity: 16, ShareFrom: 0.5}

// fill admits requests until one is refused.
func fill(g *Gate, r Request) (admitted int, last Decision) {
	for {
		d := g.Admit(time.Unix(0, 0), &r)
		if !d.Admitted {
			return admitted, d
		}
		admitted++
	}
}

func TestBound(t *testing.T) {
	for _, test := range []struct {
		mean float64
		want int
	}{{0, 4}, {3.9, 4}, {4, 5}, {5.6, 7}, {8, 10}, {100, 16}} {
		n, d := fill(NewGate(testLimits), Request{Account: "a", Priority: ryeford.PriorityHighest, Share: 1, PoolMean: test.mean})
		assert.Equal(t, n, test.want, "mean %v", test.mean)
		assert.Equal(t, d.Reason, ryeford.ReasonOverload)
		assert.Assert(t, d.RetryAfter > 0)
	}
}

func TestShare(t *testing.T) {
	g := NewGate(testLimits)
	n, d := fill(g, Request{Account: "surging", Priority: 9, Share: 0.25, PoolMean: 100})
	assert.Equal(t, n, 8) // unused capacity may be borrowed up to ShareFrom
	assert.Equal(t, d.Reason, ryeford.ReasonShare)
	n, _ = fill(g, Request{Account: "other", Priority: 9, Share: 0.25, PoolMean: 100})
	assert.Equal(t, n, 4) // its share is still available
}

// TestShareOfSmallBound fills an engine whose bound is below the ShareFrom threshold:
// the surging account must leave room for the other one.
func TestShareOfSmallBound(t *testing.T) {
	g := NewGate(Limits{PoolFactor: 1.25, Floor: 4, Capacity: 100, ShareFrom: 0.8})
	n, d := fill(g, Request{Account: "surging", Priority: 9, Share: 0.5, PoolMean: 16})
	assert.Equal(t, n, 18)
	assert.Equal(t, d.Reason, ryeford.ReasonShare)
	n, _ = fill(g, Request{Account: "other", Priority: 9, Share: 0.5, PoolMean: 16})
	assert.Equal(t, n, 2)
}

func TestPriority(t *testing.T) {
	limits := Limits{PoolFactor: 1.25, Floor: 4, Capacity: 100, ShareFrom: 1}
	g := NewGate(limits)
	low, _ := fill(g, Request{Account: "a", Priority: 0, Share: 1, PoolMean: 80})
	high, _ := fill(g, Request{Account: "a", Priority: 9, Share: 1, PoolMean: 80})
	assert.Equal(t, low, 91)
	assert.Equal(t, low+high, 100)
}

// TestDecide checks each clause of the admission rule: bound, priorities and shares.
func TestDecide(t *testing.T) {
	limits := &Limits{PoolFactor: 1.25, Floor: 4, Capacity: 64, ShareFrom: 0.8}
	const low, high = ryeford.PriorityLowest, ryeford.PriorityHighest
	for _, test := range []struct {
		rule     string
		load     int
		held     int
		mean     float64
		priority ryeford.Priority
		share    float64
		want     ryeford.Reason // empty: admitted
	}{
		{"an idle engine admits", 0, 0, 0, low, 0, ""},
		{"the floor is allowed at any mean", 3, 0, 0, high, 1, ""},
		{"the mean limits the load above the floor", 4, 0, 3.2, high, 1, ryeford.ReasonOverload},
		{"a load of the factor times the mean is allowed", 9, 0, 8, high, 1, ""},
		{"a load above the factor times the mean is refused", 10, 0, 8, high, 1, ryeford.ReasonOverload},
		{"a load above the capacity is refused at any mean", 64, 0, 1000, high, 1, ryeford.ReasonOverload},
		{"a small bound is the same for all priorities", 9, 0, 8, low, 1, ""},
		{"the lowest priority leaves 9% of a large bound free, in whole requests", 37, 0, 32, low, 1, ryeford.ReasonOverload},
		{"the highest priority may use the whole bound", 37, 0, 32, high, 1, ""},
		{"an account may borrow below the last tenth of the bound", 35, 35, 32, high, 0.1, ""},
		{"shares are enforced in the last tenth of the bound", 36, 36, 32, high, 0.1, ryeford.ReasonShare},
		{"an account within its share may use the last tenth", 36, 3, 32, high, 0.1, ""},
		{"shares are enforced above share_from of the capacity", 51, 40, 1000, high, 0.5, ryeford.ReasonShare},
		{"an account without a share may run one request", 51, 0, 1000, high, 0, ""},
		{"an account without a share may not run two requests", 51, 1, 1000, high, 0, ryeford.ReasonShare},
		{"the bound is checked before the share", 64, 64, 1000, high, 0, ryeford.ReasonOverload},
	} {
		t.Run(test.rule, func(t *testing.T) {
			r := &Request{Account: "a", Priority: test.priority, Share: test.share, PoolMean: test.mean}
			d := decide(limits, test.load, test.held, r)
			assert.Equal(t, d.Reason, test.want)
			assert.Equal(t, d.Admitted, test.want == "")
			assert.Equal(t, d.Load, float64(test.load))
			assert.Equal(t, d.Held, test.held)
		})
	}
}

// TestRetryAfter checks the retry time of an engine whose requests end one second
// apart.
func TestRetryAfter(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var c completions
	assert.Equal(t, c.retryAfter(start, 10, 10), time.Second) // nothing has ended
	for i := range 3 {
		c.add(start.Add(time.Duration(i) * time.Second))
	}
	last := start.Add(2 * time.Second)
	for _, test := range []struct {
		rule        string
		elapsed     time.Duration // since the last completion
		load, bound float64
		want        time.Duration
	}{
		{"one interval for one excess request", 0, 10, 10, time.Second},
		{"the excess is at least one request", 0, 3, 10, time.Second},
		{"the time is proportional to the excess", 0, 30, 20, 12 * time.Second},
		{"the time since the last completion replaces a shorter interval", 4 * time.Second, 10, 10, 4 * time.Second},
		{"the maximum", 0, 100, 10, 30 * time.Second},
	} {
		t.Run(test.rule, func(t *testing.T) {
			assert.Equal(t, c.retryAfter(last.Add(test.elapsed), test.load, test.bound), test.want)
		})
	}
	fast := completions{last: last, interval: time.Millisecond}
	assert.Equal(t, fast.retryAfter(last, 10, 10), minRetryAfter)
}

func BenchmarkAdmit(b *testing.B) {
	g := NewGate(testLimits)
	r := Request{Account: "a", Priority: 5, Share: 1, PoolMean: 8}
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		g.Admit(now, &r)
		g.Release(now, "a")
	}
}
