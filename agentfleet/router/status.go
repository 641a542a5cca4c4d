package router

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

const (
	// queryTimeout bounds one agent's answer to an operator's query. Not measured.
	queryTimeout = time.Second

	// maxQueries is how many agents are asked at once. Not measured: it bounds the
	// streams that one operator's query opens.
	maxQueries = 32
)

// A Status is what a router says of itself and of the agents it reaches.
type Status struct {
	Router   ryeford.VMID  `json:"router"`
	Domain   string        `json:"failure_domain"`
	Ready    bool          `json:"ready"`
	Leaving  bool          `json:"leaving"`
	Revision int64         `json:"revision"`
	InFlight int64         `json:"in_flight"`
	Skew     float64       `json:"skew"`
	Agents   []AgentStatus `json:"agents"`
}

// An AgentStatus is what a router knows of an agent.
type AgentStatus struct {
	VM          ryeford.VMID        `json:"vm"`
	Domain      string              `json:"failure_domain"`
	Incarnation ryeford.Incarnation `json:"incarnation"`
	Leaving     bool                `json:"leaving"`
	Listed      ryeford.VMState     `json:"listed"`
	Revision    int64               `json:"revision"` // -1 if it did not answer
	Engines     []wire.EngineState  `json:"engines"`
}

// An Explanation is the decisions on a request, in the order of time.
type Explanation struct {
	Request   ryeford.RequestID `json:"request"`
	Decisions []string          `json:"decisions"`
}

// status returns what the router knows, with each agent's revision.
func (h *operatorHandler) status(ctx context.Context) *Status {
	s := &Status{
		Router:   h.settings.VM,
		Domain:   h.settings.FailureDomain,
		Ready:    h.readiness.ready(),
		Leaving:  h.readiness.leaving.Load(),
		Revision: h.book.Revision(),
		InFlight: h.readiness.inFlight.Load(),
		Skew:     h.loads.skew(time.Now()),
	}
	agents := h.fleet.all()
	replies := h.queryAgents(ctx, agents, &wire.Message{Pull: &wire.Pull{Revision: s.Revision}})
	s.Agents = make([]AgentStatus, len(agents))
	for i, a := range agents {
		s.Agents[i] = AgentStatus{
			VM:          a.vm.ID,
			Domain:      a.inventory.FailureDomain,
			Incarnation: a.inventory.Incarnation,
			Leaving:     a.inventory.Leaving,
			Listed:      a.vm.State,
			Revision:    -1,
			Engines:     a.inventory.Engines,
		}
		if m := replies[i]; m != nil && m.Delta != nil {
			s.Agents[i].Revision = m.Delta.Revision
		}
	}
	return s
}

func (h *operatorHandler) explain(ctx context.Context, request ryeford.RequestID) *Explanation {
	e := &Explanation{Request: request, Decisions: h.decisions.Lines(request)}
	query := &wire.Message{Explain: &wire.Explain{Request: request}}
	for _, m := range h.queryAgents(ctx, h.fleet.all(), query) {
		if m != nil && m.Decisions != nil {
			e.Decisions = append(e.Decisions, m.Decisions.Lines...)
		}
	}
	slices.Sort(e.Decisions) // each line begins with its time
	return e
}

// queryAgents asks agents the same, maxQueries at once. It returns their replies in the
// agents' order, nil for one that did not answer within queryTimeout.
func (h *operatorHandler) queryAgents(ctx context.Context, agents []*agent, query *wire.Message) []*wire.Message {
	replies := make([]*wire.Message, len(agents))
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxQueries)
	for i, a := range agents {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, queryTimeout)
			defer cancel()
			if m, err := a.conn.Ask(ctx, query); err == nil {
				replies[i] = m
			}
		})
	}
	wait.Wait()
	return replies
}
