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
