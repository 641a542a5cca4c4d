package router

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/claim"
	"github.com/ryeford/ryeford/agentfleet/load"
	"github.com/ryeford/ryeford/retry"
	"github.com/ryeford/ryeford/route"
	"github.com/ryeford/ryeford/settings"
)

// An exchange serves one request: it dispatches the request to engines until one admits
// it, and returns the chunks of the answer in order, each once.
//
// An exchange is not safe for concurrent use.
type exchange struct {
	forwarder  *forwarder
	request    *request
	candidates candidates
	history    history
	probes     load.Probes // loads of the candidates so far
	attempt    claim.Attempt
	stream     agentStream
	delivered  deliveryState
	end        func() // releases the resources of the exchange; called once
}

// A history is what an exchange has done so far. The decision rules use it.
type history struct {
	dispatches int
	rounds     int           // completed rounds over all candidates
	rejoins    int           // after lost connections
	mayHaveRun bool          // a failed dispatch may have run
	retryAfter time.Duration // the shortest one in a refusal
	warm       bool          // the engine that last admitted the request had the chat's prefix cached
}

// addRetryAfter records the retry delay of a refusal. The shortest one counts.
func (h *history) addRetryAfter(after time.Duration) {
	if h.retryAfter == 0 || after < h.retryAfter {
		h.retryAfter = after
	}
}

// start dispatches the request until the first chunk of an answer has arrived, and logs
// the result.
func (x *exchange) start(ctx context.Context) error {
	began := time.Now()
	if err := x.dispatchAll(ctx); err != nil {
		x.logGivenUp(err)
		return err
	}
	x.logRouted(time.Since(began))
	return nil
}

// dispatchAll dispatches the request. If it needs a claim, it claims the key first.
func (x *exchange) dispatchAll(ctx context.Context) error {
	if len(x.candidates.queue) == 0 {
		return &ryeford.NotRunError{Reason: ryeford.ReasonNoCandidate, RetryAfter: retry.Jitter(unavailableRetryAfter)}
	}
	if x.request.needsClaim() {
		return x.startClaimed(ctx)
	}
	return x.dispatchQueue(ctx)
}

// resume joins the attempt whose answer the caller received in part, at the candidate
// named in its event ID.
func (x *exchange) resume(ctx context.Context) error {
	found, err := x.joinAt(ctx, x.stream.candidate, false)
	if err != nil {
		return err
	}
	if !found {
		return &ryeford.NotRunError{Reason: ryeford.ReasonTombstone}
	}
	req := x.request
	x.forwarder.decisions.Record(req.id, "decision", "resume", "request", req.id, "account", req.account,
		"vm", x.stream.candidate.VM, "attempt", x.attempt.ID, "offset", x.delivered.next)
	return nil
}

// dispatchQueue dispatches to one engine of the queue after the other until the first
// chunk has arrived. nextStepAfterFailure decides what follows a failure.
func (x *exchange) dispatchQueue(ctx context.Context) error {
	var last error
	step := stepFree
	for step != stepGiveUp && (len(x.candidates.queue) > 0 || x.startRound(last)) {
		if time.Now().After(x.request.deadline) {
			last = &ryeford.NotRunError{Reason: ryeford.ReasonDeadline}
			break
		}
		if !x.forwarder.budgets.spend(x.request.account, step) {
			last = &ryeford.NotRunError{Reason: ryeford.ReasonRetryBudget}
			break
		}
		next := x.candidates.queue[0]
		x.candidates.queue = x.candidates.queue[1:]
		if last = x.dispatchTo(ctx, next); last == nil {
			return nil
		}
		x.logFailed(last)
		x.history.mayHaveRun = x.history.mayHaveRun || mayHaveRun(last)
		step = nextStepAfterFailure(last, x.request.repeatable)
	}
	return finalError(last, x.history.mayHaveRun, retry.Jitter(x.history.retryAfter))
}

// startRound queues the first candidate again if allowsAnotherRound permits it.
func (x *exchange) startRound(last error) bool {
	x.history.rounds++
	if !allowsAnotherRound(last, x.history.rounds) {
		return false
	}
	x.probes.MarkSaturated()
	x.candidates.queue = append(x.candidates.queue, x.candidates.first)
	return true
}

// dispatchTo dispatches the request to one engine and waits for the first chunk.
func (x *exchange) dispatchTo(ctx context.Context, c claim.Candidate) error {
	x.stream.close()
	x.stream.candidate = c
	x.history.dispatches++
	if x.history.dispatches == 1 || c.Engine == x.candidates.home {
		x.candidates.first = c
	}
	if !x.request.needsClaim() {
		x.attempt = newAttempt(time.Now(), x.forwarder.limits, false)
	}
	if err := x.dispatch(ctx, c); err != nil {
		return err
	}
	return x.awaitFirstChunk(ctx)
}

// poolMean returns the mean load that an engine compares its own load with on
// admission.
func (x *exchange) poolMean() float64 {
	return x.forwarder.loads.probedMean(time.Now(), x.request.model, &x.probes)
}

// addProbe records the load that a candidate reported.
func (x *exchange) addProbe(value float64) {
	x.forwarder.loads.addProbe(time.Now(), x.request.model, x.stream.candidate.Engine, &x.probes, value)
}

func (x *exchange) logFailed(err error) {
	f, req, c := x.forwarder, x.request, x.stream.candidate
	f.metrics.Count("ryeford_tries_failed_total", string(reasonOf(err)))
	f.decisions.Record(req.id,
		"decision", "try", "request", req.id, "attempt", x.attempt.ID, "account", req.account, "chat", req.chat,
		"engine", c.Engine, "vm", c.VM, "failure_domain", f.fleet.domain(c.VM), "try", x.history.dispatches,
		"reason", reasonOf(err), "mean", x.poolMean(), "left", len(x.candidates.queue), "err", err)
}

func (x *exchange) logRouted(elapsed time.Duration) {
	f, req, c := x.forwarder, x.request, x.stream.candidate
	f.metrics.Count("ryeford_requests_total", "routed")
	f.metrics.Observe("ryeford_first_chunk_seconds", elapsed.Seconds())
	warm := "cold"
	if x.history.warm {
		warm = "warm"
	}
	f.metrics.Count("ryeford_turns_total", warm)
	f.decisions.Record(req.id, "decision", "route", "request", req.id, "attempt", x.attempt.ID, "account", req.account, "chat", req.chat,
		"engine", c.Engine, "vm", c.VM, "failure_domain", f.fleet.domain(c.VM), "home", x.candidates.home,
		"try", x.history.dispatches, "mean", x.poolMean(), "warm", x.history.warm, "first_chunk", elapsed)
}

func (x *exchange) logGivenUp(err error) {
	req := x.request
	x.forwarder.metrics.Count("ryeford_requests_total", string(reasonOf(err)))
	x.forwarder.decisions.Record(req.id, "decision", "give_up", "request", req.id, "account", req.account, "chat", req.chat,
		"tries", x.history.dispatches, "reason", reasonOf(err), "mean", x.poolMean(), "err", err)
}

// attemptRetention is how long an agent keeps an attempt without a claim. It must
// exceed the dispatch timeout and rejoinTimeout together.
const attemptRetention = 30 * time.Second

// newAttempt returns a new attempt that may be admitted for limits.dispatch from now.
// An attempt with a claim is kept for limits.claim_ttl, since its caller may retry for
// that long.
func newAttempt(now time.Time, limits *settings.RouterLimits, claimed bool) claim.Attempt {
	retention := attemptRetention
	if claimed {
		retention = limits.ClaimTTL
	}
	return claim.Attempt{
		ID:          ryeford.AttemptID(uuid.NewString()),
		Expires:     now.Add(limits.Dispatch),
		RetainUntil: now.Add(retention),
	}
}

// A forwarder serves callers' HTTP requests. It parses a request and runs an exchange
// to get the answer. It holds what all exchanges share, such as the suspects and the
// budgets.
type forwarder struct {
	*sharedState
	gossip   *agentGossip
	claims   *claim.Store
	suspects *suspects
	budgets  budgets
}

func (f *forwarder) newExchange(req *request) *exchange {
	x := &exchange{forwarder: f, request: req}
	if ranked := f.rank(req); len(ranked) > 0 {
		x.candidates.home = ranked[0].Engine
		x.candidates.queue = f.suspects.deprioritize(time.Now(), ranked)
	}
	return x
}

// resumeExchange returns an exchange that serves the rest of an answer after the event
// last. It does not rejoin after a lost connection, since the caller can resume again.
func (f *forwarder) resumeExchange(req *request, last *eventID) *exchange {
	return &exchange{
		forwarder: f,
		request:   req,
		history:   history{rejoins: maxRejoins},
		attempt:   claim.Attempt{ID: last.attempt},
		stream:    agentStream{candidate: last.candidate},
		delivered: deliveryState{next: last.offset + 1},
	}
}

// rank returns the engines that can serve a request, in its chat's rendezvous order,
// limits.candidates at most. Engines of agents that are not connected are omitted.
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
