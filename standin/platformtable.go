package standin

import (
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
	p.mu.Lock()
	defer p.mu.Unlock()
	var answer tableservice.TransactAnswer
	var conflict *ryeford.ConflictError
	version, err := p.table.Transact(ctx, request.Writes...)
	switch {
	case errors.As(err, &conflict):
		answer.Conflicts = conflict.Keys
	case err != nil:
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	default:
		answer.Version = version
		p.downAfter(request.Writes)
		p.save()
	}
	p.answerWrite(ctx, &answer)
}

// downAfter sets the platform down if one of the writes is the one that the fault
// names.
func (p *platformServer) downAfter(writes []ryeford.Write) {
	for _, w := range writes {
		p.fault.Down = p.fault.Down || w.Key == p.fault.DownAfterKey
	}
}
