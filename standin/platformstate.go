package standin

import (
	"encoding/json"
	"os"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/memtable"
)

// A platformState is what outlives a restart of the stand-in, as its file holds it.
type platformState struct {
	memtable.Contents
	Objects map[string][]byte           `json:"objects"`
	VMs     map[ryeford.VMID]ryeford.VM `json:"vms"`
}

// load reads the state from its file, if there is one. VMs of the file are added to
// those of the settings.
func (p *platformServer) load() error {
	if p.file == "" {
		return nil
	}
	content, err := os.ReadFile(p.file)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return &Error{Op: "read state", Err: err}
	}
	state := platformState{Objects: p.objects, VMs: p.vms}
	if err := json.Unmarshal(content, &state); err != nil {
		return &Error{Op: "read state", Err: err}
	}
	p.table.SetContents(state.Contents)
	p.objects, p.vms = state.Objects, state.VMs
	return nil
}

// save writes the state to its file, if there is one. A state that can't be written
// is logged: the stand-in goes on with what it has in memory.
func (p *platformServer) save() {
	if p.file == "" {
		return
	}
	if err := p.writeState(); err != nil {
		_ = p.logger.Log("msg", "state not saved", "file", p.file, "err", err)
	}
}

// writeState replaces the state's file as a whole.
func (p *platformServer) writeState() error {
	content, err := json.Marshal(&platformState{Contents: p.table.Contents(), Objects: p.objects, VMs: p.vms})
	if err != nil {
		return err
	}
	next := p.file + ".next"
	if err := os.WriteFile(next, content, 0o600); err != nil {
		return err
	}
	return os.Rename(next, p.file)
}
