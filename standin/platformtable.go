package standin

import (
	"context"
	"errors"

	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/tableservice"
)

// get answers a read of rows by their keys.
func (p *platformServer) get(ctx *fasthttp.RequestCtx) {
	var request tableservice.GetRequest
	if !allow(ctx, p.reads) || !readJSON(ctx, &request) {
		return
	}
	rows, err := p.table.Get(ctx, request.Keys...)
	answerRows(ctx, rows, err)
}

// list answers a read of rows by the prefix of their keys.
func (p *platformServer) list(ctx *fasthttp.RequestCtx) {
	var request tableservice.ListRequest
	if !allow(ctx, p.reads) || !readJSON(ctx, &request) {
		return
	}
	rows, err := p.table.List(ctx, request.Prefix)
	answerRows(ctx, rows, err)
}

// answerRows answers a read.
func answerRows(ctx *fasthttp.RequestCtx, rows []ryeford.Row, err error) {
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	writeJSON(ctx, &tableservice.RowsAnswer{Rows: rows})
}

// transact makes all writes of a request, or none.
func (p *platformServer) transact(ctx *fasthttp.RequestCtx) {
	var request tableservice.TransactRequest
	if !allow(ctx, p.writes) || !readJSON(ctx, &request) {
		return
	}
	answer, state, err := p.write(ctx, request.Writes)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	if state != nil {
		p.file.save(state)
	}
	p.answerWrite(ctx, answer)
}

// write makes all writes, or none if some conflict. It returns the answer, and the state
// to save if there is a new one.
func (p *platformServer) write(ctx context.Context, writes []ryeford.Write) (*tableservice.TransactAnswer, *platformState, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var conflict *ryeford.ConflictError
	version, err := p.table.Transact(ctx, writes...)
	switch {
	case errors.As(err, &conflict):
		return &tableservice.TransactAnswer{Conflicts: conflict.Keys}, nil, nil
	case err != nil:
		return nil, nil, err
	}
	p.downAfter(writes)
	return &tableservice.TransactAnswer{Version: version}, p.state(), nil
}

// downAfter sets the platform down if one of the writes is the one that the fault
// names.
func (p *platformServer) downAfter(writes []ryeford.Write) {
	for _, w := range writes {
		p.fault.Down = p.fault.Down || w.Key == p.fault.DownAfterKey
	}
}
