package standin

import (
	"slices"

	"github.com/valyala/fasthttp"
)

// object serves the object store: a write or a read of the named object.
func (p *platformServer) object(ctx *fasthttp.RequestCtx, name string) {
	if ctx.IsPut() {
		p.putObject(ctx, name)
		return
	}
	p.getObject(ctx, name)
}

func (p *platformServer) putObject(ctx *fasthttp.RequestCtx, name string) {
	if !allow(ctx, p.writes) {
		return
	}
	p.file.save(p.setObject(name, slices.Clone(ctx.PostBody())))
	p.answerWrite(ctx, struct{}{})
}

// setObject writes an object, and returns the state to save.
func (p *platformServer) setObject(name string, content []byte) *platformState {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[name] = content
	return p.state()
}

func (p *platformServer) getObject(ctx *fasthttp.RequestCtx, name string) {
	if !allow(ctx, p.reads) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	content, ok := p.objects[name]
	if !ok {
		ctx.Error("no such object", fasthttp.StatusNotFound)
		return
	}
	ctx.SetBody(content)
}
