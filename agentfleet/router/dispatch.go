package router

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/answer"
	"github.com/ryeford/ryeford/agentfleet/claim"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// candidates are the engines that an exchange may dispatch its request to.
type candidates struct {
	home  ryeford.EngineID  // the first in the chat's rendezvous order
	first claim.Candidate   // the home if it was dispatched to, otherwise the first one dispatched to
	queue []claim.Candidate // not dispatched to yet
}

// redirectQueue returns the queue after the home redirected to an engine. If the engine is
// connected, target is its candidate and comes first. The home and the others follow.
func redirectQueue(queue []claim.Candidate, home claim.Candidate, engine ryeford.EngineID, target claim.Candidate) []claim.Candidate {
	others := slices.DeleteFunc(slices.Clone(queue), func(c claim.Candidate) bool { return c.Engine == engine })
	next := append([]claim.Candidate{home}, others...)
	if target.Engine == engine {
		return append([]claim.Candidate{target}, next...)
	}
	return next
}

// suspectDuration is how long a VM stays suspect after it left a dispatch unanswered.
// It is a multiple of the default dispatch timeout, so that a frozen VM delays few
// requests.
const suspectDuration = 5 * time.Second

// suspects are the VMs that recently left a dispatch unanswered. Their connections may
// still be up: a connection detects a frozen process only after the idle timeout.
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
	s.until[vm] = now.Add(suspectDuration)
}

func (s *suspects) clear(vm ryeford.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.until, vm)
}

// deprioritize returns the candidates with those on suspect VMs moved to the end. The
// order is otherwise unchanged. None is dropped, since all of them may be suspect.
func (s *suspects) deprioritize(now time.Time, candidates []claim.Candidate) []claim.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var others, suspected []claim.Candidate
	for _, c := range candidates {
		if now.Before(s.until[c.VM]) {
			suspected = append(suspected, c)
		} else {
			others = append(others, c)
		}
	}
	return append(others, suspected...)
}

const (
	// dispatchGrace is how long after the expiry of a dispatch its reply is accepted,
	// so that a reply from an agent that admits it at the last moment still arrives.
	dispatchGrace = 250 * time.Millisecond

	// maxWaitingDispatches is how many of a request's first dispatches may wait at a
	// full engine: the one to the chat's home, and the one to the engine that the home
	// redirects to. Waiting pays off only there, since no other engine has the chat's
	// prefix cached.
	maxWaitingDispatches = 2
)

// dispatch sends the attempt to an engine's agent and waits until it is admitted or
// refused. If no stream can be opened, the attempt did not run. If sending fails or the
// reply is lost, resolveOutcome determines whether it ran.
func (x *exchange) dispatch(ctx context.Context, c claim.Candidate) error {
	a, ok := x.forwarder.fleet.agentByVM(c.VM)
	if !ok || a.inventory.Incarnation != c.Incarnation {
		return &ryeford.NotRunError{Reason: ryeford.ReasonUnreachable}
	}
	openCtx, cancel := context.WithDeadline(ctx, x.attempt.Expires)
	defer cancel()
	stream, err := a.conn.Open(openCtx)
	if err != nil { // the connection is closing; keepConnected logs the cause
		return &ryeford.NotRunError{Reason: ryeford.ReasonUnreachable}
	}
	x.stream.conn = stream
	stream.SetReadDeadline(x.attempt.Expires.Add(dispatchGrace))
	if err := stream.Send(&wire.Message{Dispatch: x.dispatchMessage(c)}); err != nil {
		return x.resolveOutcome(ctx, err)
	}
	m, err := stream.Receive()
	if err != nil {
		x.forwarder.suspects.add(time.Now(), c.VM)
		return x.resolveOutcome(ctx, err)
	}
	x.forwarder.suspects.clear(c.VM)
	return x.handleReply(m)
}

// dispatchMessage returns the dispatch of the attempt, and sets the attempt's ID in the
// completion or call.
func (x *exchange) dispatchMessage(c claim.Candidate) *wire.Dispatch {
	req := x.request
	if req.call != nil {
		req.call.Attempt = x.attempt.ID
	} else {
		req.completion.Attempt = x.attempt.ID
		req.completion.Prefix = string(x.delivered.text)
	}
	d := &wire.Dispatch{
		Request:     req.id,
		Attempt:     x.attempt.ID,
		Account:     req.account,
		Chat:        req.chat,
		Engine:      c.Engine,
		Incarnation: c.Incarnation,
		Priority:    req.priority,
		Share:       req.share,
		Repeatable:  req.repeatable,
		Expires:     x.attempt.Expires,
		RetainUntil: x.attempt.RetainUntil,
		PoolMean:    x.poolMean(),
		Sent:        time.Now(),
		MayRedirect: mayRedirect(req, c.Engine == x.candidates.home, x.history.dispatches),
		Offset:      x.delivered.next,
		Completion:  req.completion,
		Call:        req.call,
	}
	if mayWait(x.history.rounds, x.history.dispatches) {
		d.Wait = x.forwarder.limits.WarmWait
	}
	return d
}

// mayRedirect reports whether an agent may redirect the request to another engine
// instead of running it. Only the chat's home stores where the chat was last served,
// and only the first dispatch asks for it. A request with a claim is excluded, since
// the claim fixes its candidates in advance.
func mayRedirect(req *request, home bool, dispatches int) bool {
	return home && dispatches == 1 && !req.needsClaim() && req.call == nil
}

// mayWait reports whether a dispatch may wait at a full engine for limits.warm_wait.
// Only the dispatches of the first round to engines that may have the chat's prefix do.
func mayWait(rounds, dispatches int) bool {
	return rounds == 0 && dispatches <= maxWaitingDispatches
}

// handleReply handles the agent's reply to a dispatch or a join.
func (x *exchange) handleReply(m *wire.Message) error {
	switch {
	case m.Admitted != nil && m.Admitted.Attempt == x.attempt.ID:
		x.addProbe(m.Admitted.Load)
		x.history.warm = m.Admitted.Warm
		x.beginAnswer(m.Admitted)
		return nil
	case m.Refused != nil && m.Refused.Attempt == x.attempt.ID:
		return x.handleRefusal(m.Refused)
	}
	return &ryeford.MayHaveRunError{Reason: ryeford.ReasonUnreachable, Err: &ProtocolError{}}
}

// beginAnswer prepares the stream for the answer of an admitted attempt, starting at
// the caller's next offset. If another request started the attempt, the answer carries
// the ID of that request.
func (x *exchange) beginAnswer(admitted *wire.Admitted) {
	x.request.id = admitted.Request
	x.stream.assembler = answer.NewAssembler(x.attempt.ID, x.delivered.next)
}

// handleRefusal handles a refusal and returns it as an error.
func (x *exchange) handleRefusal(refused *wire.Refused) error {
	if refused.MayHaveRun {
		return &ryeford.MayHaveRunError{Reason: refused.Reason, RetryAfter: refused.RetryAfter}
	}
	switch refused.Reason {
	case ryeford.ReasonOverload, ryeford.ReasonShare:
		x.addProbe(refused.Load)
		x.history.addRetryAfter(refused.RetryAfter)
	case ryeford.ReasonBackingOff: // its load does not indicate the load of the others
		x.history.addRetryAfter(refused.RetryAfter)
	case ryeford.ReasonRedirect:
		target, _ := x.forwarder.fleet.candidate(refused.Engine)
		x.candidates.queue = redirectQueue(x.candidates.queue, x.stream.candidate, refused.Engine, target)
	}
	return &ryeford.NotRunError{Reason: refused.Reason, RetryAfter: refused.RetryAfter}
}
