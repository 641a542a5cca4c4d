package router

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/answer"
	"github.com/ryeford/ryeford/agentfleet/claim"
	"github.com/ryeford/ryeford/agentfleet/load"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
	"github.com/ryeford/ryeford/retry"
	"github.com/ryeford/ryeford/route"
)

const (
	forgetAfter    = 30 * time.Second // for attempts without a claim
	rejoinTime     = 5 * time.Second  // how long a lost attempt is asked after
	rejoinInterval = 25 * time.Millisecond
	maxRejoins     = 3
)

// An exchange serves one request: it tries engines until one has admitted the
// turn, and yields the answer's chunks in their order, each once.
//
// An exchange must not be used by two goroutines at once.
type exchange struct {
	router  *Router
	request *request

	home       ryeford.EngineID  // the first in the chat's order
	first      claim.Candidate   // the first that was asked, not counting a redirect
	queue      []claim.Candidate // still to be tried
	dispatches int
	rounds     int

	attempt    ryeford.AttemptID
	candidate  claim.Candidate // where the attempt is
	expires    time.Time
	forget     time.Time
	mayHaveRun bool // an earlier attempt may have run
	probes     load.Probes
	retryAfter time.Duration // the least Retry-After of the refusals

	stream  *transport.Stream
	asm     *answer.Assembler
	ready   []ryeford.Chunk
	next    int64  // the caller's next offset
	text    []byte // what the caller has
	warm    bool
	rejoins int
}

// newExchange returns an exchange with the candidates of a turn.
func (r *Router) newExchange(req *request) *exchange {
	x := &exchange{router: r, request: req}
	set := r.targets(req)
	if set == nil {
		return x
	}
	var ranking route.Ranking
	set.Rank(route.ChatHash(req.account, req.chat), r.settings.Limits.Candidates, &ranking)
	for _, index := range ranking.Index[:ranking.Len] {
		target := set.Target(int(index))
		if c, ok := r.candidate(target.Engine); ok {
			x.queue = append(x.queue, c)
		}
	}
	if len(x.queue) > 0 {
		x.home = x.queue[0].Engine
	}
	x.queue = r.suspects.last(time.Now(), x.queue)
	return x
}

// candidate returns an engine as a candidate, if its agent is connected.
func (r *Router) candidate(engine ryeford.EngineID) (claim.Candidate, bool) {
	p, ok := r.fleet.engine(engine)
	if !ok {
		return claim.Candidate{}, false
	}
	return claim.Candidate{Engine: engine, VM: p.vm.ID, Incarnation: p.inventory.Incarnation}, true
}

// start tries engines until the first chunk of the answer is there.
func (x *exchange) start(ctx context.Context) error {
	if len(x.queue) == 0 {
		return &ryeford.NotRunError{Reason: ryeford.ReasonNoCandidate, RetryAfter: retry.Spread(time.Second)}
	}
	if x.request.claimed() {
		return x.startClaimed(ctx)
	}
	return x.dispatchQueue(ctx)
}

// dispatchQueue tries the queue's engines until the first chunk is there.
func (x *exchange) dispatchQueue(ctx context.Context) error {
	var last error
	for len(x.queue) > 0 || x.anotherRound(last) {
		if time.Now().After(x.request.deadline) {
			last = &ryeford.NotRunError{Reason: ryeford.ReasonDeadline}
			break
		}
		if !x.mayTry(last) {
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
		if !x.mayGoOn(last) {
			break
		}
	}
	return x.finalError(last)
}

// maxRounds is how often the candidates are asked.
const maxRounds = 2

// anotherRound puts the first candidate into the queue again once all have
// refused for their load: the fleet is saturated, and what they reported raises
// the mean that they are measured against.
func (x *exchange) anotherRound(last error) bool {
	x.rounds++
	if reasonOf(last) != ryeford.ReasonOverload || x.rounds >= maxRounds {
		return false
	}
	x.probes.Saturated()
	x.queue = append(x.queue, x.first)
	return true
}

// mayTry reports whether the account's budgets allow one more try.
func (x *exchange) mayTry(last error) bool {
	var unknown *ryeford.UnknownError
	var notRun *ryeford.NotRunError
	switch {
	case last == nil:
		return true
	case errors.As(last, &unknown):
		return x.router.retries.Spend(x.request.account)
	case errors.As(last, &notRun) && notRun.Reason == ryeford.ReasonRedirect:
		return true
	case errors.As(last, &notRun):
		return x.router.overflow.Spend(x.request.account)
	}
	return x.router.retries.Spend(x.request.account)
}

// mayGoOn reports whether another engine may be tried after a failure.
func (x *exchange) mayGoOn(err error) bool {
	var unknown *ryeford.UnknownError
	if errors.As(err, &unknown) {
		x.mayHaveRun = true
		return x.request.repeatable
	}
	var notRun *ryeford.NotRunError
	if !errors.As(err, &notRun) {
		return false
	}
	return notRun.Reason != ryeford.ReasonTombstone
}

// verdict returns what the caller is told after the last try.
func (x *exchange) finalError(last error) error {
	var notRun *ryeford.NotRunError
	if !errors.As(last, &notRun) {
		return last
	}
	if x.mayHaveRun {
		// The refusal is told by its text only: the outcome must not be taken for it.
		return &ryeford.UnknownError{Reason: notRun.Reason, RetryAfter: retry.Spread(x.retryAfter), Err: &EngineError{Text: last.Error()}}
	}
	return &ryeford.NotRunError{Reason: notRun.Reason, RetryAfter: retry.Spread(x.retryAfter)}
}

// try dispatches the turn to one engine and waits for the first chunk.
func (x *exchange) dispatchTo(ctx context.Context, c claim.Candidate) error {
	x.close()
	x.dispatches++
	x.candidate = c
	if x.dispatches == 1 || c.Engine == x.home {
		x.first = c
	}
	if !x.request.claimed() {
		x.newAttempt(time.Now())
	}
	if err := x.dispatch(ctx, c); err != nil {
		return err
	}
	return x.awaitFirst(ctx)
}

// newAttempt names a new attempt, with its limits.
func (x *exchange) newAttempt(now time.Time) {
	x.attempt = ryeford.AttemptID(uuid.NewString())
	x.expires = now.Add(x.router.settings.Limits.Dispatch)
	x.forget = now.Add(forgetAfter)
	if x.request.claimed() {
		x.forget = now.Add(x.router.settings.Limits.ClaimTTL)
	}
}

// close gives up the stream of the last try.
func (x *exchange) close() {
	if x.stream != nil {
		x.stream.Close()
		x.stream = nil
	}
	x.ready = nil
}

// cancel tells the agent that the caller is gone.
func (x *exchange) cancel() {
	if x.stream == nil {
		return
	}
	_ = x.stream.Send(&wire.Message{Cancel: &wire.Cancel{}})
	x.stream.CloseSend()
}

// logFailed logs a try that failed.
func (x *exchange) logFailed(c claim.Candidate, err error) {
	x.router.metrics.Count("ryeford_tries_failed_total", string(reasonOf(err)))
	_ = x.router.decisions.Note(x.request.id,
		"decision", "try", "request", x.request.id, "attempt", x.attempt, "account", x.request.account, "chat", x.request.chat,
		"engine", c.Engine, "vm", c.VM, "failure_domain", x.router.fleet.domain(c.VM), "try", x.dispatches, "reason", reasonOf(err), "mean", x.poolMean(), "left", len(x.queue), "err", err)
}
