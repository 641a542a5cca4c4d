package limit

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/gateway/peers"
)

var start = time.Unix(1000, 0)

const work = 60 * time.Millisecond

var room = Room{Slots: 30, Goal: 300 * time.Millisecond}

// newTable returns a Table that knows how long requests take without waiting.
func newTable() *Table {
	t := New()
	for range int(batchSize) {
		t.Answered(start, 1, work)
	}
	return t
}

// arrive lets requests arrive for a second, and returns the last Decision.
func arrive(t *Table, from time.Time, perSecond int, room Room) Decision {
	var d Decision
	for i := range perSecond {
		now := from.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		d = t.Arrive(now, 1, room)
		t.Answered(now, 1, work)
	}
	return d
}

// arriveOnce lets n requests arrive at once.
func arriveOnce(t *Table, now time.Time, n int) {
	for range n {
		t.Arrive(now, 1, room)
		t.Answered(now, 1, work)
	}
}

// TestArrive guards against requests that are limited without need or without figures, and against a crowd that is
// not.
func TestArrive(t *testing.T) {
	slots := func(slots int, goal time.Duration) Room { return Room{Slots: slots, Goal: goal} }
	for _, row := range []struct {
		rule      string
		room      Room
		perSecond int
		limited   bool
	}{
		{"below the capacity", room, 400, false},
		{"twice the capacity", room, 1800, true},
		{"a large service", slots(300, room.Goal), 1000, false},
		{"unknown slots", slots(0, room.Goal), 1000, false},
		{"no goal", slots(30, 0), 1000, false},
	} {
		t.Run(row.rule, func(t *testing.T) {
			d := arrive(newTable(), start, row.perSecond, row.room)
			assert.Equal(t, d.Share < 1, row.limited, "%+v", d)
		})
	}
	assert.Equal(t, arrive(New(), start, 10, room).Share, 1.0, "no response times are known")
}

// TestShare checks that the share is the capacity over the arrivals, whatever the number of routers.
func TestShare(t *testing.T) {
	capacity := 30 * (1 + waitShare*float64(room.Goal)/float64(work)) / work.Seconds()
	for _, others := range []int{0, 3, 24, 99} {
		table := newTable()
		own := 4000 / (1 + others)
		for i := range 200 {
			now := start.Add(time.Duration(i) * 20 * time.Millisecond)
			arriveOnce(table, now, (i+1)*own/50-i*own/50)
			table.Merge(now, []peers.ServiceFigures{{Service: 1, Arrivals: uint32(float64(own) * arrivalUnits)}})
		}
		crowd := room
		crowd.Peers = others
		d := arrive(table, start.Add(3*time.Second), own, crowd)
		assert.Assert(t, math.Abs(d.Share/(capacity/4000)-1) < 0.15, "%d others: %+v, want %v", others, d, capacity/4000)
	}
}

// TestStartInCrowd guards against a router that starts in a crowd and takes its own first arrivals for the growth of
// all, so that it rejects nearly all requests.
func TestStartInCrowd(t *testing.T) {
	table, crowd := newTable(), room
	crowd.Peers = 7
	for range 20 {
		table.Merge(start, []peers.ServiceFigures{{Service: 1, Arrivals: 175 * arrivalUnits}})
	}
	d := arrive(table, start, 175, crowd)
	assert.Assert(t, d.Arrivals < 2.5*8*175 && d.Arrivals > 0.5*8*175, "%+v", d)
}

// TestSlow checks that slower endpoints get fewer requests.
func TestSlow(t *testing.T) {
	usual, slow := newTable(), newTable()
	for range 100 {
		slow.Answered(start, 1, 3*work)
	}
	assert.Assert(t, arrive(usual, start, 600, room).Share > 0.9)
	d := slow.Arrive(start, 1, room)
	assert.Assert(t, d.Mean > 2*work)
	assert.Assert(t, d.Limit < 52, "fewer wait if the mean is near the goal: %+v", d)
}

// TestRejected checks that rejections reduce the limit only while requests are limited, and that it recovers.
func TestRejected(t *testing.T) {
	table := newTable()
	limit := func(now time.Time) float64 { return table.Arrive(now, 1, room).Limit }
	before := limit(start)
	table.Rejected(start, 1, 1)
	assert.Equal(t, limit(start), before, "sent while all requests could be sent")
	for range 10 {
		table.Rejected(start.Add(time.Second), 1, 0.5)
	}
	assert.Assert(t, limit(start.Add(time.Second)) < 0.95*before)
	assert.Assert(t, limit(start.Add(time.Second)) > 0.85*before, "at most once in correctionGap")
	assert.Equal(t, limit(start.Add(20*time.Second)), before)
	for i := range 1000 {
		table.Rejected(start.Add(20*time.Second+time.Duration(i)*correctionGap), 1, 0.5)
	}
	assert.Assert(t, limit(start.Add(120*time.Second)) >= minCorrection*before)
}

// TestImplausible guards against a peer's figures that shut a service or open it.
func TestImplausible(t *testing.T) {
	table := newTable()
	crowd := room
	crowd.Peers = 7
	var sane []peers.ServiceFigures
	for range 7 {
		sane = append(sane, peers.ServiceFigures{Service: 1, Arrivals: 20 * arrivalUnits, Responses: 16, Mean: uint32(work.Microseconds())})
	}
	assert.Equal(t, table.Merge(start, sane), 0)
	assert.Equal(t, arrive(table, start, 20, crowd).Share, 1.0)
	absurd := []peers.ServiceFigures{{Service: 1, Arrivals: math.MaxUint32, Responses: math.MaxUint32, Mean: math.MaxUint32}}
	assert.Equal(t, table.Merge(start.Add(time.Second), absurd), 2)
	assert.Assert(t, table.Arrive(start.Add(time.Second), 1, crowd).Share > 0.05)
	for i := range 20 {
		now := start.Add(time.Second + time.Duration(i)*50*time.Millisecond)
		arriveOnce(table, now, 1)
		table.Merge(now, append(sane, absurd...))
	}
	d := table.Arrive(start.Add(2*time.Second), 1, crowd)
	assert.Assert(t, d.Share > 0.5, "one of eight routers reports absurd figures all the time: %+v", d)
	assert.Equal(t, table.Merge(start, []peers.ServiceFigures{{Service: 1, Mean: math.MaxUint32}}), 0, "without responses")
}

// TestManyServices checks that peers can't make the tables grow without bound, and that unused services give way.
func TestManyServices(t *testing.T) {
	table := New()
	for i := range 2 * maxServices {
		table.Merge(start, []peers.ServiceFigures{{Service: uint32(i)}})
	}
	assert.Equal(t, len(table.services), maxServices)
	assert.Equal(t, table.Arrive(start, 1<<20, room).Share, 1.0)
	table.Arrive(start.Add(2*unusedFor), 1<<20, room)
	assert.Equal(t, len(table.services), 1)
}

// TestFigures checks what is reported of a service that has had no request lately.
func TestFigures(t *testing.T) {
	table := newTable()
	assert.Equal(t, len(table.Figures(start)), 0, "no request has arrived")
	arrive(table, start, 100, room)
	sent := table.Figures(start.Add(time.Second))
	assert.Equal(t, len(sent), 1)
	assert.Assert(t, math.Abs(float64(sent[0].Arrivals)/arrivalUnits-100) < 10)
	assert.Assert(t, sent[0].Responses > 0)
	assert.Equal(t, time.Duration(sent[0].Mean)*time.Microsecond, work)
	idle := table.Figures(start.Add(10 * time.Second))
	assert.Equal(t, len(idle), 1)
	assert.Equal(t, idle[0].Arrivals, uint32(0))
	assert.Equal(t, len(table.Figures(start.Add(2*sentFor))), 0)
}

// BenchmarkArrive measures one decision.
func BenchmarkArrive(b *testing.B) {
	table := newTable()
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		table.Arrive(now, 1, room)
	}
}
