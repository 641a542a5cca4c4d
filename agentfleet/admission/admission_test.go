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
