package standin

import (
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford"
)

// cacheEvents answers with the cache events after a sequence number.
func (e *engineServer) cacheEvents(ctx *fasthttp.RequestCtx) {
	after, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(ctx, e.cache.events[min(int(after), len(e.cache.events)):])
}

// cacheContent exports or imports a chat's KV cache.
func (e *engineServer) cacheContent(ctx *fasthttp.RequestCtx, chat ryeford.ChatID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.IsPut() {
		e.cache.store(chat, string(ctx.PostBody()))
		return
	}
	text, ok := e.cache.text(chat)
	if !ok {
		ctx.Error("not cached", fasthttp.StatusNotFound)
		return
	}
	ctx.SetBodyString(text)
}
