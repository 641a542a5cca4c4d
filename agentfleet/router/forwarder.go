package router

import (
	"time"

	"github.com/go-kit/log"

	"github.com/ryeford/ryeford/agentfleet/claim"
	"github.com/ryeford/ryeford/agentfleet/decision"
	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/route"
	"github.com/ryeford/ryeford/settings"
)

// A forwarder is what all exchanges share: what is known of the engines, the
// connections to their agents, and the accounts' budgets. It owns the suspects and the
// budgets.
type forwarder struct {
	limits    *settings.RouterLimits
	fleet     *fleet
	loads     *loads
	suspects  *suspects
	claims    *claim.Claims
	budgets   budgets
	gossip    *agentGossip
	decisions *decision.Log
	log       log.Logger
	metrics   *telemetry.Set
}

// newExchange returns the exchange that serves a request.
func (f *forwarder) newExchange(req *request) *exchange {
	x := &exchange{forwarder: f, request: req, stream: agentStream{metrics: f.metrics}}
	if ranked := f.rank(req); len(ranked) > 0 {
		x.candidates.home = ranked[0].Engine
		x.candidates.queue = f.suspects.last(time.Now(), ranked)
	}
	return x
}

// resumeExchange returns the exchange that serves the rest of an answer, of which the
// caller has the chunks up to last. It rejoins no further: the caller can come again.
func (f *forwarder) resumeExchange(req *request, last *eventID) *exchange {
	return &exchange{
		forwarder: f,
		request:   req,
		history:   history{rejoins: maxRejoins},
		attempt:   attempt{id: last.attempt},
		stream:    agentStream{metrics: f.metrics, candidate: last.candidate},
		delivered: delivered{next: last.offset + 1},
	}
}

// rank returns the engines that can serve a request, in its chat's rendezvous order,
// limits.candidates at most. Those of agents that are not connected are left out.
func (f *forwarder) rank(req *request) []claim.Candidate {
	set := f.targets(req)
	if set == nil {
		return nil
	}
	var ranking route.Ranking
	set.Rank(route.ChatHash(req.account, req.chat), f.limits.Candidates, &ranking)
	var ranked []claim.Candidate
	for _, index := range ranking.Index[:ranking.Len] {
		target := set.Target(int(index))
		if c, ok := f.fleet.candidate(target.Engine); ok {
			ranked = append(ranked, c)
		}
	}
	return ranked
}

// targets returns the engines, or the service's instances, that can serve a request, or
// nil if there are none.
func (f *forwarder) targets(req *request) *route.Set {
	if req.call != nil {
		return f.fleet.service(req.service)
	}
	return f.fleet.pool(req.completion.Pool)
}
