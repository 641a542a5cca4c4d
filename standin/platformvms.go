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
	if !ctx.IsPost() {
		writeTagged(ctx, p.vmsFor(ryeford.VMID(ctx.Request.Header.Peek(tableservice.HeaderVM))))
		return
	}
	var vm ryeford.VM
	if !readJSON(ctx, &vm) {
		return
	}
	p.file.save(p.setVM(vm))
	writeJSON(ctx, struct{}{})
}

// vmsFor returns the list that a VM reads.
func (p *platformServer) vmsFor(reader ryeford.VMID) []ryeford.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Contains(p.fault.FreezeList, reader) {
		return p.frozen
	}
	return p.listVMs()
}

// setVM changes one entry of the list, and returns the state to save.
func (p *platformServer) setVM(vm ryeford.VM) *platformState {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[vm.ID] = vm
	return p.state()
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
