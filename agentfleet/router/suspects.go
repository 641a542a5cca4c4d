package router

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/claim"
)

// suspectedFor is how long a VM that left a dispatch unanswered is asked last.
const suspectedFor = 5 * time.Second

// suspects are the VMs that left a dispatch unanswered a short while ago. Their
// connection may live on: a frozen process is not seen by it for as long as the
// idle time-out.
type suspects struct {
	mu    sync.Mutex
	until map[ryeford.VMID]time.Time
}

// newSuspects returns suspects without any.
func newSuspects() *suspects {
	return &suspects{until: make(map[ryeford.VMID]time.Time)}
}

// add notes that a VM left a dispatch unanswered.
func (s *suspects) add(now time.Time, vm ryeford.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until[vm] = now.Add(suspectedFor)
}

// clear notes that a VM answered.
func (s *suspects) clear(vm ryeford.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.until, vm)
}

// last moves the candidates of suspected VMs behind the others, and keeps the
// order otherwise.
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
