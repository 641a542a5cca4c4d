package router

import (
	"context"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/claim"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
	"github.com/ryeford/ryeford/internal/clock"
)

const (
	// rejoinTime is how long an agent is asked about an attempt whose stream was lost.
	// Not measured.
	rejoinTime = 5 * time.Second

	// rejoinInterval is the time between two such joins. Not measured: short against a
	// caller's wait, long against a connection's round trip.
	rejoinInterval = 25 * time.Millisecond
)

// resolveLost finds out what became of an attempt whose stream was lost, by asking its
// agent until it answers. If the agent has been restarted, what it knew is lost, and the
// outcome is unknown. A repeatable request is not worth the wait: its outcome counts as
// unknown at once, and it goes to another engine.
func (x *exchange) resolveLost(ctx context.Context, cause error) error {
	unknown := &ryeford.MayHaveRunError{Reason: ryeford.ReasonUnreachable, Err: cause}
	if x.request.repeatable || ctx.Err() != nil {
		return unknown
	}
	x.stream.close()
	x.history.rejoins++
	limit := x.request.within(rejoinTime)
	for time.Now().Before(limit) {
		reply, stream, err := x.join(ctx, x.stream.candidate, false, limit)
		if err == nil {
			x.stream.conn = stream
			return x.handleReply(reply)
		}
		// The agent can't be asked yet; the first failure, cause, says more than this one.
		if a, ok := x.forwarder.fleet.vm(x.stream.candidate.VM); ok && a.inventory.Incarnation != x.stream.candidate.Incarnation {
			unknown.Reason = ryeford.ReasonIncarnation
			return unknown
		}
		if !clock.Sleep(ctx, rejoinInterval) {
			return unknown
		}
	}
	return unknown
}

// join asks a candidate's agent for the attempt's answer, from the caller's next offset
// on. Unless peek is set, an agent that has not admitted the attempt never will after
// it was asked.
func (x *exchange) join(ctx context.Context, c claim.Candidate, peek bool, limit time.Time) (*wire.Message, *transport.Stream, error) {
	a, ok := x.forwarder.fleet.vm(c.VM)
	if !ok {
		return nil, nil, &ryeford.NotFoundError{Kind: "VM", Name: string(c.VM)}
	}
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	stream, err := a.conn.Open(ctx)
	if err != nil {
		return nil, nil, err
	}
	stream.SetReadDeadline(limit)
	query := &wire.Join{
		Account:     x.request.account,
		Attempt:     x.attempt.id,
		Incarnation: c.Incarnation,
		Offset:      x.delivered.next,
		Expires:     x.attempt.expires,
		Forget:      x.attempt.forget,
		Peek:        peek,
	}
	if err := stream.Send(&wire.Message{Join: query}); err != nil {
		stream.Close()
		return nil, nil, err
	}
	reply, err := stream.Receive()
	if err != nil {
		stream.Close()
		return nil, nil, err
	}
	return reply, stream, nil
}
