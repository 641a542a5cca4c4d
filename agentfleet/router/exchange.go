package router

import (
	"context"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/answer"
	"github.com/ryeford/ryeford/agentfleet/claim"
	"github.com/ryeford/ryeford/agentfleet/load"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
	"github.com/ryeford/ryeford/retry"
	"github.com/ryeford/ryeford/route"
)

// An exchange serves one request: it dispatches it to engines until one has admitted
// it, and yields the answer's chunks in their order, each once.
//
// An exchange must not be used by two goroutines at once.
type exchange struct {
	router  *Router
	request *request

	home       ryeford.EngineID  // the first in the chat's rendezvous order
	first      claim.Candidate   // the first dispatched to, not counting a redirect
	queue      []claim.Candidate // not dispatched to yet
	dispatches int               // so far
	rounds     int               // in which all candidates had a dispatch

	attempt    attempt
	candidate  claim.Candidate // where the attempt is
	mayHaveRun bool            // an earlier attempt may have run
	probes     load.Probes
	retryAfter time.Duration // the shortest that a refusal named

	stream  *transport.Stream
	asm     *answer.Assembler
	ready   []ryeford.Chunk // received and not yet passed on
	next    int64           // the caller's next offset
	text    []byte          // what the caller has of a repeatable completion
	warm    bool            // the engine has the chat's prefix cached
	rejoins int             // that were used up after lost connections
}

// newExchange returns an exchange with the candidates of a request.
func (r *Router) newExchange(req *request) *exchange {
	x := &exchange{router: r, request: req}
	queue := r.candidates(req)
	if len(queue) > 0 {
		x.home = queue[0].Engine
		x.queue = r.suspects.last(time.Now(), queue)
	}
	return x
}

// candidates returns the engines that can serve a request, in its chat's rendezvous
// order, limits.candidates at most. Those of agents that are not connected are left out.
func (r *Router) candidates(req *request) []claim.Candidate {
	set := r.targets(req)
	if set == nil {
		return nil
	}
	var ranking route.Ranking
	set.Rank(route.ChatHash(req.account, req.chat), r.settings.Limits.Candidates, &ranking)
	var candidates []claim.Candidate
	for _, index := range ranking.Index[:ranking.Len] {
		target := set.Target(int(index))
		if c, ok := r.candidate(target.Engine); ok {
			candidates = append(candidates, c)
		}
	}
	return candidates
}

// candidate returns an engine as a candidate, if its agent is connected.
func (r *Router) candidate(engine ryeford.EngineID) (claim.Candidate, bool) {
	a, ok := r.fleet.engine(engine)
	if !ok {
		return claim.Candidate{}, false
	}
	return claim.Candidate{Engine: engine, VM: a.vm.ID, Incarnation: a.inventory.Incarnation}, true
}

// start dispatches the request until the first chunk of an answer is there.
func (x *exchange) start(ctx context.Context) error {
	if len(x.queue) == 0 {
		return &ryeford.NotRunError{Reason: ryeford.ReasonNoCandidate, RetryAfter: retry.Spread(unavailableRetryAfter)}
	}
	if x.request.claimed() {
		return x.startClaimed(ctx)
	}
	return x.dispatchQueue(ctx)
}

// dispatchQueue dispatches to the queue's engines in turn until the first chunk is
// there. What follows a failure is decided by afterFailure.
func (x *exchange) dispatchQueue(ctx context.Context) error {
	var last error
	step := stepFree
	for len(x.queue) > 0 || x.startRound(last) {
		if time.Now().After(x.request.deadline) {
			last = &ryeford.NotRunError{Reason: ryeford.ReasonDeadline}
			break
		}
		if !x.pay(step) {
			last = &ryeford.NotRunError{Reason: ryeford.ReasonRetryBudget}
			break
		}
		c := x.queue[0]
		x.queue = x.queue[1:]
		last = x.dispatchTo(ctx, c)
		if last == nil {
			return nil
		}
		x.logFailed(c, last)
		x.mayHaveRun = x.mayHaveRun || mayHaveRun(last)
		step = afterFailure(last, x.request.repeatable)
		if step == stepGiveUp {
			break
		}
	}
	return finalError(last, x.mayHaveRun, retry.Spread(x.retryAfter))
}

// startRound puts the first candidate into the queue again if anotherRound says so.
func (x *exchange) startRound(last error) bool {
	x.rounds++
	if !anotherRound(last, x.rounds) {
		return false
	}
	x.probes.MarkSaturated()
	x.queue = append(x.queue, x.first)
	return true
}

// pay takes what a step costs from the account's budgets, and reports whether the
// account had it.
func (x *exchange) pay(step nextStep) bool {
	switch step {
	case stepOverflow:
		return x.router.overflow.Spend(x.request.account)
	case stepRetry:
		return x.router.retries.Spend(x.request.account)
	}
	return true
}

// dispatchTo dispatches the request to one engine and waits for the first chunk.
func (x *exchange) dispatchTo(ctx context.Context, c claim.Candidate) error {
	x.close()
	x.dispatches++
	x.candidate = c
	if x.dispatches == 1 || c.Engine == x.home {
		x.first = c
	}
	if !x.request.claimed() {
		x.attempt = newAttempt(time.Now(), &x.router.settings.Limits, false)
	}
	if err := x.dispatch(ctx, c); err != nil {
		return err
	}
	return x.awaitFirst(ctx)
}

// close gives up the stream of the last dispatch.
func (x *exchange) close() {
	if x.stream != nil {
		x.stream.Close()
		x.stream = nil
	}
	x.ready = nil
}

// cancel sends the agent that the caller is gone. If that can't be sent, the
// connection is lost, and the agent stops the run itself once nobody has read its
// answer for a while.
func (x *exchange) cancel() {
	if x.stream == nil {
		return
	}
	_ = x.stream.Send(&wire.Message{Cancel: &wire.Cancel{}})
	x.stream.CloseSend()
}

// logFailed logs a dispatch that failed.
func (x *exchange) logFailed(c claim.Candidate, err error) {
	req := x.request
	x.router.metrics.Count("ryeford_tries_failed_total", string(reasonOf(err)))
	x.router.decisions.Record(req.id,
		"decision", "try", "request", req.id, "attempt", x.attempt.id, "account", req.account, "chat", req.chat,
		"engine", c.Engine, "vm", c.VM, "failure_domain", x.router.fleet.domain(c.VM), "try", x.dispatches,
		"reason", reasonOf(err), "mean", x.poolMean(), "left", len(x.queue), "err", err)
}
