package standin

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/tableservice"
)

// serveVMs serves the list of VMs: a read of it, or a change of one entry.
func (p *platformServer) serveVMs(ctx *fasthttp.RequestCtx) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ctx.IsPost() {
		reader := ryeford.VMID(ctx.Request.Header.Peek(tableservice.HeaderVM))
		vms := p.listVMs()
		if slices.Contains(p.fault.FreezeList, reader) {
			vms = p.frozen
		}
		writeTagged(ctx, vms)
		return
	}
	var vm ryeford.VM
	if !readJSON(ctx, &vm) {
		return
	}
	p.vms[vm.ID] = vm
	p.save()
	writeJSON(ctx, struct{}{})
}

// writeTagged answers with JSON and its entity tag, or with 304 if the reader has
// that tag already.
func writeTagged(ctx *fasthttp.RequestCtx, v any) {
	writeJSON(ctx, v)
	tag := fmt.Sprintf(`"%016x"`, xxhash.Sum64(ctx.Response.Body()))
	ctx.Response.Header.Set("ETag", tag)
	if string(ctx.Request.Header.Peek("If-None-Match")) == tag {
		ctx.Response.ResetBody()
		ctx.SetStatusCode(fasthttp.StatusNotModified)
	}
}

// listVMs returns the VMs in the order of their ids.
func (p *platformServer) listVMs() []ryeford.VM {
	vms := make([]ryeford.VM, 0, len(p.vms))
	for _, vm := range p.vms {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b ryeford.VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return vms
}
