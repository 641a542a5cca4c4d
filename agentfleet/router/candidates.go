package router

import (
	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/claim"
)

// candidates are the engines that an exchange may dispatch its request to.
type candidates struct {
	home  ryeford.EngineID  // the first in the chat's rendezvous order
	first claim.Candidate   // the first dispatched to, not counting a redirect
	queue []claim.Candidate // not dispatched to yet
}

// next takes the next candidate from the queue, which must not be empty.
func (c *candidates) next() claim.Candidate {
	next := c.queue[0]
	c.queue = c.queue[1:]
	return next
}

// refill fills the queue anew from the ranked candidates, without the engine that was
// lost.
func (c *candidates) refill(ranked []claim.Candidate, lost ryeford.EngineID) {
	c.queue = nil
	for _, candidate := range ranked {
		if candidate.Engine != lost {
			c.queue = append(c.queue, candidate)
		}
	}
}

// redirected returns the queue after a home pointed to an engine: that engine first, if
// it is connected and so has a candidate, the home next, then the others.
func redirected(queue []claim.Candidate, home claim.Candidate, engine ryeford.EngineID, target claim.Candidate, connected bool) []claim.Candidate {
	next := make([]claim.Candidate, 0, len(queue)+2)
	if connected {
		next = append(next, target)
	}
	next = append(next, home)
	for _, c := range queue {
		if c.Engine != engine {
			next = append(next, c)
		}
	}
	return next
}
