package router

import (
	"slices"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/claim"
)

// candidates are the engines that an exchange may dispatch its request to.
type candidates struct {
	home  ryeford.EngineID  // the first in the chat's rendezvous order
	first claim.Candidate   // the first dispatched to, not counting a redirect
	queue []claim.Candidate // not dispatched to yet
}

// redirected returns the queue after a home pointed to an engine: that engine first, if
// it is connected and so has a candidate, the home next, then the others.
func redirected(queue []claim.Candidate, home claim.Candidate, engine ryeford.EngineID, target claim.Candidate, connected bool) []claim.Candidate {
	others := slices.DeleteFunc(slices.Clone(queue), func(c claim.Candidate) bool { return c.Engine == engine })
	next := append([]claim.Candidate{home}, others...)
	if connected {
		return append([]claim.Candidate{target}, next...)
	}
	return next
}

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

func newSuspects() *suspects {
	return &suspects{until: make(map[ryeford.VMID]time.Time)}
}

func (s *suspects) add(now time.Time, vm ryeford.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until[vm] = now.Add(suspectedFor)
}

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
	var trusted, suspected []claim.Candidate
	for _, c := range candidates {
		if now.Before(s.until[c.VM]) {
			suspected = append(suspected, c)
		} else {
			trusted = append(trusted, c)
		}
	}
	return append(trusted, suspected...)
}
