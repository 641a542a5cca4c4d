package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

var testLimits = Limits{PoolFactor: 1.25, Floor: 4, Capacity: 16, ShareFrom: 0.5}

// fill admits requests of an account until one is refused.
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
	assert.Equal(t, n, 8) // what is unused may be borrowed, up to half
	assert.Equal(t, d.Reason, ryeford.ReasonShare)
	n, _ = fill(g, Request{Account: "other", Priority: 9, Share: 0.25, PoolMean: 100})
	assert.Equal(t, n, 4) // its due is still there
}

// TestShareUnderBound fills an engine whose bound is below the load from which
// shares are enforced: the surging account leaves room for the other.
func TestShareUnderBound(t *testing.T) {
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

// TestDecide has one row a clause of the rule: the bound, the priorities below it,
// and the shares.
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
		{"the floor holds whatever the mean is", 3, 0, 0, high, 1, ""},
		{"above the floor the mean decides", 4, 0, 3.2, high, 1, ryeford.ReasonOverload},
		{"up to the factor times the mean", 9, 0, 8, high, 1, ""},
		{"and not beyond", 10, 0, 8, high, 1, ryeford.ReasonOverload},
		{"the capacity holds whatever the mean is", 64, 0, 1000, high, 1, ryeford.ReasonOverload},
		{"a small bound is the same for all priorities", 9, 0, 8, low, 1, ""},
		{"of a large one the lowest priority leaves 9% free, in whole requests", 37, 0, 32, low, 1, ryeford.ReasonOverload},
		{"for higher ones", 37, 0, 32, high, 1, ""},
		{"below the last tenth of the bound an account may borrow", 35, 35, 32, high, 0.1, ""},
		{"in the last tenth its share is enforced", 36, 36, 32, high, 0.1, ryeford.ReasonShare},
		{"and others still have theirs", 36, 3, 32, high, 0.1, ""},
		{"above share_from of the capacity too", 51, 40, 1000, high, 0.5, ryeford.ReasonShare},
		{"an account may always hold one", 51, 0, 1000, high, 0, ""},
		{"but not two", 51, 1, 1000, high, 0, ryeford.ReasonShare},
		{"the bound is looked at before the share", 64, 64, 1000, high, 0, ryeford.ReasonOverload},
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

// TestRetryAfter has requests end one second apart and checks when a refused
// caller is to come back.
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
		since       time.Duration // the last completion
		load, bound float64
		want        time.Duration
	}{
		{"one spacing for one request too many", 0, 10, 10, time.Second},
		{"never for less than one request", 0, 3, 10, time.Second},
		{"in proportion to the excess", 0, 30, 20, 12 * time.Second},
		{"a stalled engine is as slow as its stall", 4 * time.Second, 10, 10, 4 * time.Second},
		{"at most", 0, 100, 10, 30 * time.Second},
	} {
		t.Run(test.rule, func(t *testing.T) {
			assert.Equal(t, c.retryAfter(last.Add(test.since), test.load, test.bound), test.want)
		})
	}
	fast := completions{last: last, spacing: time.Millisecond}
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
