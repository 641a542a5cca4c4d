package agent

import (
	"context"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// answer sends the one answer of an exchange.
func (a *Agent) answer(stream *transport.Stream, m *wire.Message) {
	if stream.Send(m) == nil {
		stream.CloseSend()
	}
}

// sendAnswer sends a run's answer from an offset on.
func (a *Agent) sendAnswer(ctx context.Context, stream *transport.Stream, r *run, request ryeford.RequestID, offset int64) {
	r.attach()
	defer func() { r.detach(a.settings.Limits.Grace) }()
	admitted := &wire.Admitted{Attempt: r.dispatch.Attempt, Load: r.load, Warm: r.warm, Request: request}
	if stream.Send(&wire.Message{Admitted: admitted}) != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go a.receiveCancel(stream, r, cancel)
	for {
		chunks, err := r.log.Read(ctx, offset)
		if err != nil {
			return
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

// receiveCancel waits for the router to cancel, or to go away.
func (a *Agent) receiveCancel(stream *transport.Stream, r *run, gone context.CancelFunc) {
	defer gone()
	m, err := stream.Receive()
	if err == nil && m.Cancel != nil && r.dispatch.Repeatable {
		r.cancel()
	}
}
