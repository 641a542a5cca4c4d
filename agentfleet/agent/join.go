package agent

import (
	"context"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// serveJoin sends the answer of an attempt that may have been admitted before,
// or says what is known of it.
func (a *Agent) serveJoin(ctx context.Context, stream *transport.Stream, j *wire.Join) {
	refused := &wire.Refused{Attempt: j.Attempt, Incarnation: a.incarnation}
	if j.Incarnation != a.incarnation {
		refused.Reason, refused.Unknown = ryeford.ReasonIncarnation, true
		a.answer(stream, &wire.Message{Refused: refused})
		return
	}
	r, known := a.attempts.settle(time.Now(), j)
	switch {
	case known == verdictRuns && r.dispatch.Account == j.Account:
		a.sendAnswer(ctx, stream, r, r.dispatch.Request, j.Offset)
		return
	case known == verdictNotRun:
		refused.Reason = ryeford.ReasonTombstone
	case known == verdictNotYet:
		refused.Reason, refused.Unknown = ryeford.ReasonRunning, true
	case known == verdictUnknown:
		refused.Reason, refused.Unknown = ryeford.ReasonExpired, true
	default:
		refused.Reason, refused.Unknown = ryeford.ReasonDuplicate, true
	}
	_ = a.decisions.Note("", "decision", "settle", "attempt", j.Attempt, "reason", refused.Reason, "unknown", refused.Unknown)
	a.answer(stream, &wire.Message{Refused: refused})
}
