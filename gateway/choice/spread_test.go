package choice

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/route"
)

// TestEndpointsNeeded checks the number of endpoints for a prompt's requests.
func TestEndpointsNeeded(t *testing.T) {
	for _, test := range []struct {
		inFlight, room float64
		want           int
	}{
		{0, 0, 1},
		{4, 8, 1},
		{5, 8, 2},
		{40, 8, 10},
		{3, 1, 3}, // room for at least one request is assumed
		{1e9, 8, maxOrdered},
	} {
		assert.Equal(t, endpointsNeeded(test.inFlight, test.room), test.want, "%+v", test)
	}
}

// TestSpread guards against sending the requests of one prompt to too few or too many endpoints, and
// against random picks that all take the same one. There are 40 endpoints with load 4 and a cap of 10.
func TestSpread(t *testing.T) {
	for _, test := range []struct {
		name     string
		inFlight float64
		full     int // how many of the first endpoints are full
		want     int // number of endpoints that get requests
		first    int // rendezvous position of the first of these
		reason   Reason
	}{
		{"few requests", 3, 0, 1, 0, ReasonHome},
		{"more requests than one endpoint has room for", 30, 0, 10, 0, ReasonSpread},
		{"the first is full", 3, 1, 3, 1, ReasonSpill},
		{"the first four are full", 3, 4, 6, 4, ReasonSpill},
		{"two of the nine endpoints needed are full", 30, 2, 7, 2, ReasonSpread},
		{"all endpoints needed are full", 30, 8, 10, 8, ReasonSpread},
	} {
		candidates := make([]Candidate, 40)
		for i := range candidates {
			id := fmt.Sprintf("e%d", i)
			candidates[i] = Candidate{ID: ryeford.EndpointID(id), Hash: route.NameHash(id), Load: 4, Slots: 48}
		}
		order := rendezvousOrder(candidates, testKey)
		for _, i := range order[:test.full] {
			candidates[i].Load = 30
		}
		for _, i := range order[40-test.full:] {
			candidates[i].Load = 0 // keeps the mean about the same
		}
		got := make(map[int]int)
		reasons := make(map[Reason]int)
		for random := range uint64(2000) {
			chosen := ByAffinity(candidates, Prompt{Key: testKey, InFlight: test.inFlight}, limits, route.KeyHash(random))
			got[chosen.Index]++
			reasons[chosen.Reason]++
		}
		assert.Assert(t, reasons[test.reason] > 0, "%s: %v", test.name, reasons)
		assert.Equal(t, len(got), test.want, test.name)
		for place, i := range order[:test.first+test.want] {
			assert.Equal(t, got[i] > 0, place >= test.first, "%s: place %d", test.name, place)
		}
	}
}

// TestPickOfTwo checks that the less loaded of two random endpoints is chosen, and that missing
// tokens count if requested.
func TestPickOfTwo(t *testing.T) {
	candidates := []Candidate{{Load: 3, MissingTokens: 0}, {Load: 1, MissingTokens: 5000}}
	for random := range uint64(100) {
		one := pickOfTwo(candidates, []int{0, 1}, random, false)
		both := random%2 != route.KeyHash(random)%2
		if both {
			assert.Equal(t, one, 1)
			assert.Equal(t, pickOfTwo(candidates, []int{0, 1}, random, true), 0)
		}
	}
	assert.Equal(t, pickOfTwo(candidates, nil, 1, true), -1)
}
