package standin

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/tableservice"
)

// serveVMs serves a read of the list of VMs, or a change of one entry.
func (p *platformServer) serveVMs(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		writeTagged(ctx, p.vmsFor(ryeford.VMID(ctx.Request.Header.Peek(tableservice.HeaderVM))))
		return
	}
	var vm ryeford.VM
	if !readJSON(ctx, &vm) {
		return
	}
	p.mu.Lock()
	p.vms[vm.ID] = vm
	state := p.state()
	p.mu.Unlock()
	p.file.save(state)
	writeJSON(ctx, struct{}{})
}

// vmsFor returns the list of VMs that is shown to a VM.
func (p *platformServer) vmsFor(reader ryeford.VMID) []ryeford.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Contains(p.fault.FreezeList, reader) {
		return p.frozen
	}
	return p.listVMs()
}

// writeTagged answers with JSON and its entity tag, or with 304 if the reader already has the
// version with that tag.
func writeTagged(ctx *fasthttp.RequestCtx, v any) {
	writeJSON(ctx, v)
	tag := fmt.Sprintf(`"%016x"`, xxhash.Sum64(ctx.Response.Body()))
	ctx.Response.Header.Set("ETag", tag)
	if string(ctx.Request.Header.Peek("If-None-Match")) == tag {
		ctx.Response.ResetBody()
		ctx.SetStatusCode(fasthttp.StatusNotModified)
	}
}

// listVMs returns the VMs, sorted by ID. p.mu is held.
func (p *platformServer) listVMs() []ryeford.VM {
	vms := slices.AppendSeq([]ryeford.VM{}, maps.Values(p.vms)) // not nil, which JSON encodes as null
	slices.SortFunc(vms, func(a, b ryeford.VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return vms
}
