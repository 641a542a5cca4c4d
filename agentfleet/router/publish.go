package router

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/template"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// publish accepts a template, and puts it in force here at once.
func (h *operatorHandler) publish(ctx context.Context, body []byte) (*ryeford.Template, error) {
	var t ryeford.Template
	if err := json.Unmarshal(body, &t); err != nil {
		return nil, &ryeford.InputError{Field: "body", Problem: err.Error()}
	}
	if err := template.Check(&t); err != nil {
		return nil, err
	}
	for _, hash := range t.KeyHashes {
		if owner, ok := h.book.KeyOwner(hash); ok && owner != t.Account {
			return nil, &ryeford.InputError{Field: "keys", Problem: "a key belongs to another client account"}
		}
	}
	from := h.book.Revision()
	published, err := h.templates.Publish(ctx, t)
	if err != nil {
		h.decisions.Record("", "decision", "not_published", "account", t.Account, "template", t.Name, "change", t.Change, "based", t.Sequence, "err", err)
		return nil, err
	}
	h.decisions.Record("", "decision", "published", "account", t.Account, "template", t.Name, "change", t.Change,
		"sequence", published.Sequence, "revision", published.Revision)
	if !h.book.Apply(published.Revision-1, published.Revision, []ryeford.Template{*published}) {
		h.catchUp(ctx, from)
	}
	return published, nil
}

// catchUp reads the templates above a revision, which others published in between. If
// that fails, templateSync or gossip does it later.
func (h *operatorHandler) catchUp(ctx context.Context, from int64) {
	revision, templates, err := h.templates.Since(ctx, from)
	if err != nil {
		_ = h.log.Log("msg", "templates not read", "err", err)
		return
	}
	h.book.Apply(from, revision, templates)
}

// getTemplate returns a template as it was accepted last.
func (h *operatorHandler) getTemplate(ctx context.Context, text string) (*ryeford.Template, error) {
	name, err := template.ParseName(text)
	if err != nil {
		return nil, err
	}
	return h.templates.Get(ctx, name)
}

// getHistory returns all versions of a template.
func (h *operatorHandler) getHistory(ctx context.Context, text string) ([]ryeford.Template, error) {
	name, err := template.ParseName(text)
	if err != nil {
		return nil, err
	}
	return h.templates.History(ctx, name)
}

// stopVM begins a planned stop: it marks the VM as leaving in the platform's list and
// orders the agent there, if there is one, to leave at once. If the agent does not
// answer, it reads the list itself.
func (h *operatorHandler) stopVM(ctx context.Context, id ryeford.VMID) (*ryeford.VM, error) {
	vms, err := h.vms.VMs(ctx)
	if err != nil {
		return nil, err
	}
	at := slices.IndexFunc(vms, func(vm ryeford.VM) bool { return vm.ID == id })
	if at < 0 {
		return nil, &ryeford.NotFoundError{Kind: "VM", Name: string(id)}
	}
	vm := vms[at]
	vm.State = ryeford.VMLeaving
	if err := h.vms.PutVM(ctx, vm); err != nil {
		return nil, err
	}
	h.fleet.setVM(vm)
	if a, ok := h.fleet.vm(id); ok {
		_, err = a.conn.Ask(ctx, &wire.Message{Leave: &wire.Leave{}})
	}
	h.decisions.Record("", "decision", "stop_vm", "vm", id, "role", vm.Role, "failure_domain", vm.FailureDomain, "err", err)
	return &vm, nil
}
