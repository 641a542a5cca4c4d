package standin

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford"
)

// order answers with what is served, or takes an order to load pools.
func (e *engineServer) order(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !ctx.IsPost() {
		writeJSON(ctx, &e.serving)
		return
	}
	var order ryeford.Order
	if !readJSON(ctx, &order) {
		return
	}
	if e.fences && order.Epoch < e.serving.Epoch {
		ctx.Error("fenced", fasthttp.StatusPreconditionFailed)
		return
	}
	e.serving.Epoch = order.Epoch
	time.AfterFunc(e.loadTime, func() { e.loaded(order) })
}

// loaded makes the pools of an order serve, unless a later order took its place.
func (e *engineServer) loaded(order ryeford.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.serving.Epoch == order.Epoch {
		e.serving.Pools = order.Pools
	}
}

// serves reports whether a pool of this name is loaded.
func (e *engineServer) serves(name string) bool {
	for _, pool := range e.serving.Pools {
		if pool.String() == name {
			return true
		}
	}
	return false
}
