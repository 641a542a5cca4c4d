package agent

import (
	"context"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// serveJoin sends the answer of an attempt that may have been admitted before. If
// the attempt is another account's, or its answer is not kept, it says what that
// proves (judge).
func (a *Agent) serveJoin(ctx context.Context, stream *transport.Stream, j *wire.Join) {
	refused := &wire.Refused{Attempt: j.Attempt, Incarnation: a.incarnation}
	if j.Incarnation != a.incarnation {
		refused.Reason, refused.Unknown = ryeford.ReasonIncarnation, true
		stream.Reply(&wire.Message{Refused: refused})
		return
	}
	r, v := a.attempts.settle(time.Now(), j)
	if v == verdictRuns && r.dispatch.Account == j.Account {
		a.sendAnswer(ctx, stream, r, r.dispatch.Request, j.Offset)
		return
	}
	refused.Reason, refused.Unknown = v.refusal()
	a.decisions.Record("", "decision", "settle", "attempt", j.Attempt, "reason", refused.Reason, "unknown", refused.Unknown)
	stream.Reply(&wire.Message{Refused: refused})
}

// sendAnswer sends a run's answer from an offset on, until its end or until the
// router is gone. The run goes on without a reader: see run.
func (a *Agent) sendAnswer(ctx context.Context, stream *transport.Stream, r *run, request ryeford.RequestID, offset int64) {
	r.attach()
	defer func() { r.detach(a.settings.Limits.Grace) }()
	admitted := &wire.Admitted{Attempt: r.dispatch.Attempt, Load: r.load, Warm: r.warm, Request: request}
	if stream.Send(&wire.Message{Admitted: admitted}) != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go receiveCancel(stream, r, cancel)
	for {
		chunks, err := r.log.Read(ctx, offset)
		if err != nil {
			return // the router is gone, or asked for an offset that is not there
		}
		for i := range chunks {
			if stream.Send(&wire.Message{Frame: wire.NewFrame(request, &chunks[i])}) != nil {
				return
			}
			offset++
			if chunks[i].Finish != "" {
				stream.CloseSend()
				return
			}
		}
	}
}

// receiveCancel calls gone once the router cancels, or closes the stream. Only the
// first is for the run; an error means that this reader is gone.
func receiveCancel(stream *transport.Stream, r *run, gone context.CancelFunc) {
	defer gone()
	m, err := stream.Receive()
	if err == nil && m.Cancel != nil {
		r.cancelIfRepeatable()
	}
}
