package router

import (
	"context"

	"github.com/ryeford/ryeford/agentfleet/plan"
	"github.com/ryeford/ryeford/agentfleet/template"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
	"github.com/ryeford/ryeford/route"
)

// An agentRequests answers what agents ask of a router: for templates, for their part of
// the plan, and for the engines that take over their chats.
type agentRequests struct {
	book  *template.Book
	plan  *plan.Current
	fleet *fleet
}

// serve answers the requests of an agent until the connection ends.
func (r *agentRequests) serve(ctx context.Context, conn *transport.Conn) {
	for {
		stream, err := conn.Accept(ctx)
		if err != nil {
			return // the connection ended, which connect logs
		}
		go r.serveStream(stream)
	}
}

// serveStream answers one request of an agent. If that fails, the stream is closed and
// the agent sees that it got no answer.
func (r *agentRequests) serveStream(stream *transport.Stream) {
	defer stream.Close()
	m, err := stream.Receive()
	if err != nil {
		return
	}
	switch {
	case m.Pull != nil:
		revision, templates := r.book.Since(m.Pull.Revision)
		stream.Reply(&wire.Message{Delta: &wire.Delta{Revision: revision, Templates: templates}})
	case m.PullPlan != nil:
		stream.Reply(&wire.Message{Plan: r.plan.PartOf(m.PullPlan.VM)})
	case m.Successors != nil:
		stream.Reply(&wire.Message{Placements: r.successors(m.Successors)})
	}
}

// successors returns where the chats of a VM that is leaving go next: the first of each
// chat's order that is connected and on another VM. A chat without one gets an empty
// placement.
func (r *agentRequests) successors(s *wire.Successors) *wire.Placements {
	answer := &wire.Placements{Placements: make([]wire.Placement, len(s.Chats))}
	set := r.fleet.pool(s.Pool)
	if set == nil {
		return answer
	}
	var ranking route.Ranking
	for i, chat := range s.Chats {
		set.Rank(route.ChatHash(chat.Account, chat.Chat), route.MaxCandidates, &ranking)
		for _, index := range ranking.Index[:ranking.Len] {
			target := set.Target(int(index))
			if a, ok := r.fleet.vm(target.VM); ok && target.VM != s.Leaving {
				answer.Placements[i] = wire.Placement{Engine: target.Engine, Address: a.vm.Address.String()}
				break
			}
		}
	}
	return answer
}
