package router

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/claim"
)

// suspectedFor is how long a VM that left a dispatch unanswered is tried last. Not
// measured: the time is a multiple of a dispatch's (2.25 s with its grace), so that a
// frozen VM costs few requests that wait; freeze.txtar passes with it.
const suspectedFor = 5 * time.Second

// suspects are the VMs that left a dispatch unanswered a short while ago. Their
// connections may still be up: that a process is frozen is noticed by a connection only
// after the idle time-out.
type suspects struct {
	mu    sync.Mutex
	until map[ryeford.VMID]time.Time
}

// newSuspects returns an empty suspects.
func newSuspects() *suspects {
	return &suspects{until: make(map[ryeford.VMID]time.Time)}
}

// add suspects a VM that left a dispatch unanswered.
func (s *suspects) add(now time.Time, vm ryeford.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until[vm] = now.Add(suspectedFor)
}

// clear ends the suspicion of a VM that answered.
func (s *suspects) clear(vm ryeford.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.until, vm)
}

// last returns the candidates with those of suspected VMs after the others, and keeps
// the order otherwise. They are not left out: all may be suspected.
func (s *suspects) last(now time.Time, candidates []claim.Candidate) []claim.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.until) == 0 {
		return candidates
	}
	trusted := make([]claim.Candidate, 0, len(candidates))
	var suspected []claim.Candidate
	for _, c := range candidates {
		if now.Before(s.until[c.VM]) {
			suspected = append(suspected, c)
			continue
		}
		trusted = append(trusted, c)
	}
	return append(trusted, suspected...)
}
