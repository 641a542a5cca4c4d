package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/claim"
)

// TestMayRedirect checks which dispatches an agent may answer with a redirect.
func TestMayRedirect(t *testing.T) {
	for _, test := range []struct {
		name       string
		request    request
		home       bool
		dispatches int
		want       bool
	}{
		{"first dispatch, to the home", request{repeatable: true}, true, 1, true},
		{"to another engine", request{repeatable: true}, false, 1, false},
		{"second dispatch, to the home", request{repeatable: true}, true, 2, false},
		{"with a claim", request{key: "k"}, true, 1, false},
		{"with a key, but repeatable", request{key: "k", repeatable: true}, true, 1, true},
		{"call of a service", request{repeatable: true, call: &ryeford.Call{}}, true, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, mayRedirect(&test.request, test.home, test.dispatches), test.want)
		})
	}
}

// TestMayWait checks which dispatches may wait at a full engine.
func TestMayWait(t *testing.T) {
	for _, test := range []struct {
		rounds, dispatches int
		want               bool
	}{
		{0, 1, true},
		{0, 2, true},
		{0, 3, false},
		{1, 1, false},
	} {
		assert.Equal(t, mayWait(test.rounds, test.dispatches), test.want, "round %d, dispatch %d", test.rounds, test.dispatches)
	}
}

// TestRedirectQueue checks the order of candidates after a redirect.
func TestRedirectQueue(t *testing.T) {
	a, b, c := claim.Candidate{Engine: "a"}, claim.Candidate{Engine: "b"}, claim.Candidate{Engine: "c"}
	for _, test := range []struct {
		name   string
		queue  []claim.Candidate
		target claim.Candidate
		want   []claim.Candidate
	}{
		{"the target first, then the home", []claim.Candidate{b, c}, c, []claim.Candidate{c, a, b}},
		{"not in the queue", []claim.Candidate{b}, c, []claim.Candidate{c, a, b}},
		{"not connected", []claim.Candidate{b, c}, claim.Candidate{}, []claim.Candidate{a, b}},
		{"no other candidate", nil, claim.Candidate{}, []claim.Candidate{a}},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.DeepEqual(t, redirectQueue(test.queue, a, "c", test.target), test.want)
		})
	}
}

// TestSuspectsDeprioritized checks the order of candidates after a dispatch was left
// unanswered.
func TestSuspectsDeprioritized(t *testing.T) {
	a, b, c := claim.Candidate{VM: "a"}, claim.Candidate{VM: "b"}, claim.Candidate{VM: "c"}
	now := time.Unix(1_000_000, 0)
	for _, test := range []struct {
		name    string
		prepare func(s *suspects)
		elapsed time.Duration
		want    []claim.Candidate
	}{
		{"no suspect", func(*suspects) {}, 0, []claim.Candidate{a, b, c}},
		{"one suspect", func(s *suspects) { s.add(now, "a") }, 0, []claim.Candidate{b, c, a}},
		{"two suspects, in order", func(s *suspects) { s.add(now, "b"); s.add(now, "a") }, 0, []claim.Candidate{c, a, b}},
		{"until its duration is over", func(s *suspects) { s.add(now, "a") }, suspectDuration, []claim.Candidate{a, b, c}},
		{"until it answers", func(s *suspects) { s.add(now, "a"); s.clear("a") }, 0, []claim.Candidate{a, b, c}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSuspects()
			test.prepare(s)
			assert.DeepEqual(t, s.deprioritize(now.Add(test.elapsed), []claim.Candidate{a, b, c}), test.want)
		})
	}
}
