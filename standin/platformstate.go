package standin

import (
	"encoding/json"
	"maps"
	"os"
	"sync"

	"github.com/go-kit/log"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/memtable"
)

// A platformState is the persistent state of a platformServer, in the format of its file.
type platformState struct {
	memtable.Contents
	Objects map[string][]byte           `json:"objects"`
	VMs     map[ryeford.VMID]ryeford.VM `json:"vms"`

	revision int64 // counts the changes since the process started; not saved
}

// load reads the state from its file, if there is one. VMs in the file are added to those of
// the settings, and override them.
func (p *platformServer) load() error {
	if p.file.name == "" {
		return nil
	}
	content, err := os.ReadFile(p.file.name)
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

// A stateFile is the file of a platformServer's state. It is written without holding the server's
// lock, so that a slow disk delays only calls that write.
type stateFile struct {
	name   string // if empty, the state is not saved
	logger log.Logger

	mu    sync.Mutex
	saved int64 // the newest revision in the file
}

// state returns a copy of the state with the next revision. p.mu is held.
func (p *platformServer) state() *platformState {
	p.revision++
	return &platformState{
		Contents: p.table.Contents(),
		Objects:  maps.Clone(p.objects),
		VMs:      maps.Clone(p.vms),
		revision: p.revision,
	}
}

// save writes the state to the file, unless the file has a newer one. A failure is logged only: the
// stand-in continues with its state in memory.
func (f *stateFile) save(state *platformState) {
	if f.name == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.saved >= state.revision {
		return
	}
	if err := f.write(state); err != nil {
		_ = f.logger.Log("msg", "state not saved", "file", f.name, "err", err)
		return
	}
	f.saved = state.revision
}

// write replaces the file atomically.
func (f *stateFile) write(state *platformState) error {
	content, err := json.Marshal(state)
	if err != nil {
		return err
	}
	next := f.name + ".next"
	if err := os.WriteFile(next, content, 0o600); err != nil {
		return err
	}
	return os.Rename(next, f.name)
}
