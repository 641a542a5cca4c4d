package standin

import (
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/tableservice"
	"github.com/ryeford/ryeford/settings"
)

// A PlatformFault is what is wrong with the platform.
type PlatformFault struct {
	// Down refuses all calls of the table and the object store.
	Down bool `json:"down"`
	// Slow delays them by so many milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers drops the answers of so many writes after they took effect.
	LoseAnswers int `json:"lose_answers"`
	// DownAfterKey goes down right behind a write of the row with this key.
	DownAfterKey string `json:"down_after_key"`
	// FreezeList makes the named VMs read the list of VMs as it is now.
	FreezeList []ryeford.VMID `json:"freeze_list"`
	// ListDown refuses the list of VMs.
	ListDown bool `json:"list_down"`
}

// PlatformCounts counts what the platform served.
type PlatformCounts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Lists   int64 `json:"lists"`
	Refused int64 `json:"refused"`
}

// A platformState is what outlives a restart of the stand-in.
type platformState struct {
	Rows    map[string]ryeford.Row      `json:"rows"`
	Version int64                       `json:"version"`
	Objects map[string][]byte           `json:"objects"`
	VMs     map[ryeford.VMID]ryeford.VM `json:"vms"`
}

// A platformServer stands in for the platform.
type platformServer struct {
	file   string
	reads  *rate.Limiter
	writes *rate.Limiter

	mu     sync.Mutex
	state  platformState
	fault  PlatformFault
	frozen []ryeford.VM
	counts PlatformCounts
}

// newPlatform returns a platformServer, with the state of its last life.
func newPlatform(s *settings.StandinPlatform) (*platformServer, error) {
	p := &platformServer{
		file:   s.State,
		reads:  newLimiter(s.ReadsPerSecond),
		writes: newLimiter(s.WritesPerSecond),
		state: platformState{
			Rows:    make(map[string]ryeford.Row),
			Objects: make(map[string][]byte),
			VMs:     make(map[ryeford.VMID]ryeford.VM),
		},
	}
	for _, vm := range s.VMs {
		p.state.VMs[vm.ID] = ryeford.VM{
			ID:            vm.ID,
			Role:          vm.Role,
			Region:        vm.Region,
			FailureDomain: vm.FailureDomain,
			Address:       vm.Address.AddrPort,
			State:         ryeford.VMLive,
		}
	}
	if p.file == "" {
		return p, nil
	}
	content, err := os.ReadFile(p.file)
	if os.IsNotExist(err) {
		return p, nil
	}
	if err == nil {
		err = json.Unmarshal(content, &p.state)
	}
	if err != nil {
		return nil, &Error{Op: "read state", Err: err}
	}
	return p, nil
}

// newLimiter returns a Limiter of so many calls a second, or of no bound.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// serve implements handler.
func (p *platformServer) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == PathFault:
		p.setFault(ctx)
	case path == PathRuns:
		p.mu.Lock()
		defer p.mu.Unlock()
		writeJSON(ctx, &p.counts)
	case path == tableservice.PathVMs:
		p.serveVMs(ctx)
	case !p.available():
		ctx.Error("unavailable", fasthttp.StatusServiceUnavailable)
	case path == tableservice.PathGet:
		p.get(ctx)
	case path == tableservice.PathList:
		p.list(ctx)
	case path == tableservice.PathTransact:
		p.transact(ctx)
	case strings.HasPrefix(path, tableservice.PathObjects):
		p.object(ctx, strings.TrimPrefix(path, tableservice.PathObjects))
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// available waits while the platform is slow and reports whether it is up.
func (p *platformServer) available() bool {
	p.mu.Lock()
	fault := p.fault
	if fault.Down {
		p.counts.Refused++
	}
	p.mu.Unlock()
	time.Sleep(time.Duration(fault.SlowMS) * time.Millisecond)
	return !fault.Down
}

// allow takes one call of a limiter, or answers 503.
func (p *platformServer) allow(ctx *fasthttp.RequestCtx, limiter *rate.Limiter, count *int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !limiter.Allow() {
		p.counts.Refused++
		ctx.Error("rate exceeded", fasthttp.StatusServiceUnavailable)
		return false
	}
	*count++
	return true
}

// setFault changes the named fields of the fault.
func (p *platformServer) setFault(ctx *fasthttp.RequestCtx) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if readJSON(ctx, &p.fault) {
		p.frozen = p.vms()
	}
}

// get answers a read of rows.
func (p *platformServer) get(ctx *fasthttp.RequestCtx) {
	var request tableservice.GetRequest
	if !p.allow(ctx, p.reads, &p.counts.Reads) || !readJSON(ctx, &request) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	answer := tableservice.RowsAnswer{Rows: make([]ryeford.Row, 0, len(request.Keys))}
	for _, key := range request.Keys {
		row, ok := p.state.Rows[key]
		if !ok {
			row = ryeford.Row{Key: key}
		}
		answer.Rows = append(answer.Rows, row)
	}
	writeJSON(ctx, &answer)
}

// list answers a read by prefix.
func (p *platformServer) list(ctx *fasthttp.RequestCtx) {
	var request tableservice.ListRequest
	if !p.allow(ctx, p.reads, &p.counts.Reads) || !readJSON(ctx, &request) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var answer tableservice.RowsAnswer
	for key, row := range p.state.Rows {
		if strings.HasPrefix(key, request.Prefix) {
			answer.Rows = append(answer.Rows, row)
		}
	}
	slices.SortFunc(answer.Rows, func(a, b ryeford.Row) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(ctx, &answer)
}

// transact makes all writes of a request, or none.
func (p *platformServer) transact(ctx *fasthttp.RequestCtx) {
	var request tableservice.TransactRequest
	if !p.allow(ctx, p.writes, &p.counts.Writes) || !readJSON(ctx, &request) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var answer tableservice.TransactAnswer
	for _, w := range request.Writes {
		if w.IfVersion != ryeford.AnyVersion && p.state.Rows[w.Key].Version != w.IfVersion {
			answer.Conflicts = append(answer.Conflicts, w.Key)
		}
	}
	if len(answer.Conflicts) == 0 {
		answer.Version = p.apply(request.Writes)
	}
	p.answerWrite(ctx, &answer)
}

// apply makes writes whose conditions hold.
func (p *platformServer) apply(writes []ryeford.Write) int64 {
	p.state.Version++
	for _, w := range writes {
		p.fault.Down = p.fault.Down || w.Key == p.fault.DownAfterKey
		if w.Delete {
			delete(p.state.Rows, w.Key)
			continue
		}
		p.state.Rows[w.Key] = ryeford.Row{Key: w.Key, Value: w.Value, Version: p.state.Version}
	}
	p.save()
	return p.state.Version
}

// answerWrite answers a write, unless its answer is to be lost.
func (p *platformServer) answerWrite(ctx *fasthttp.RequestCtx, answer any) {
	if p.fault.LoseAnswers > 0 {
		p.fault.LoseAnswers--
		cutConnection(ctx)
		return
	}
	writeJSON(ctx, answer)
}

// object serves the object store.
func (p *platformServer) object(ctx *fasthttp.RequestCtx, escaped string) {
	name, err := url.PathUnescape(escaped)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if ctx.IsPut() {
		if !p.allow(ctx, p.writes, &p.counts.Writes) {
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.state.Objects[name] = slices.Clone(ctx.PostBody())
		p.save()
		p.answerWrite(ctx, struct{}{})
		return
	}
	if !p.allow(ctx, p.reads, &p.counts.Reads) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	content, ok := p.state.Objects[name]
	if !ok {
		ctx.Error("no such object", fasthttp.StatusNotFound)
		return
	}
	ctx.SetBody(content)
}

// serveVMs serves the list of VMs.
func (p *platformServer) serveVMs(ctx *fasthttp.RequestCtx) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Lists++
	if p.fault.ListDown {
		ctx.Error("unavailable", fasthttp.StatusServiceUnavailable)
		return
	}
	if !ctx.IsPost() {
		reader := ryeford.VMID(ctx.Request.Header.Peek(tableservice.HeaderVM))
		vms := p.vms()
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
	p.state.VMs[vm.ID] = vm
	p.save()
	writeJSON(ctx, struct{}{})
}

// writeTagged answers with JSON and its tag, or says that the reader has it.
func writeTagged(ctx *fasthttp.RequestCtx, v any) {
	writeJSON(ctx, v)
	tag := fmt.Sprintf(`"%016x"`, xxhash.Sum64(ctx.Response.Body()))
	ctx.Response.Header.Set("ETag", tag)
	if string(ctx.Request.Header.Peek("If-None-Match")) == tag {
		ctx.Response.ResetBody()
		ctx.SetStatusCode(fasthttp.StatusNotModified)
	}
}

// vms returns the list of VMs in the order of their ids.
func (p *platformServer) vms() []ryeford.VM {
	vms := make([]ryeford.VM, 0, len(p.state.VMs))
	for _, vm := range p.state.VMs {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b ryeford.VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return vms
}

// save writes the state to its file, if there is one.
func (p *platformServer) save() {
	if p.file == "" {
		return
	}
	content, err := json.Marshal(&p.state)
	if err != nil {
		return
	}
	next := p.file + ".next"
	if os.WriteFile(next, content, 0o600) == nil {
		_ = os.Rename(next, p.file)
	}
}
