package standin

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/tableservice"
	"github.com/ryeford/ryeford/internal/memtable"
	"github.com/ryeford/ryeford/settings"
)

// A PlatformFault is a simulated fault of the platform.
type PlatformFault struct {
	// Down refuses all calls of the table and the object store.
	Down bool `json:"down"`
	// LoseAnswers is the number of writes that take effect but get no answer.
	LoseAnswers int `json:"lose_answers"`
	// DownAfterKey sets Down immediately after a write of the row with this key.
	DownAfterKey string `json:"down_after_key"`
	// FreezeList lists VMs that read the list of VMs as it was when the fault was set.
	FreezeList []ryeford.VMID `json:"freeze_list"`
}

// A platformServer plays the platform's services: the transactional table and the object store,
// with limited call rates, and the list of VMs.
//
// It doesn't start or stop VMs: only the settings and PutVM change their list. Objects and rows
// never expire. Its state is lost when the process ends, unless a state file is set.
type platformServer struct {
	file   stateFile
	reads  *rate.Limiter
	writes *rate.Limiter
	table  *memtable.Table

	mu       sync.Mutex
	revision int64 // of the state
	objects  map[string][]byte
	vms      map[ryeford.VMID]ryeford.VM
	fault    PlatformFault
	frozen   []ryeford.VM // the list of VMs when the last fault was set
}

// newPlatform returns a platformServer with the state from its state file, if there is one.
func newPlatform(s *settings.StandinPlatform, logger log.Logger) (*platformServer, error) {
	p := &platformServer{
		file:    stateFile{name: s.State, logger: logger},
		reads:   newLimiter(s.ReadsPerSecond),
		writes:  newLimiter(s.WritesPerSecond),
		table:   memtable.New(nil),
		objects: make(map[string][]byte),
		vms:     make(map[ryeford.VMID]ryeford.VM),
	}
	for _, vm := range s.VMs {
		p.vms[vm.ID] = ryeford.VM{
			ID:            vm.ID,
			Role:          vm.Role,
			Region:        vm.Region,
			FailureDomain: vm.FailureDomain,
			Address:       vm.Address.AddrPort,
			State:         ryeford.VMLive,
		}
	}
	if err := p.load(); err != nil {
		return nil, err
	}
	return p, nil
}

// newLimiter returns a Limiter for a rate in calls per second. Zero means no limit.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// setFault changes those fields of the fault that the request contains.
func (p *platformServer) setFault(ctx *fasthttp.RequestCtx) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if readJSON(ctx, &p.fault) {
		p.frozen = p.listVMs()
	}
}

// serve serves a request to the table, the object store, the list of VMs or PathFault.
func (p *platformServer) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == PathFault:
		p.setFault(ctx)
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

func (p *platformServer) available() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.fault.Down
}

// allow reports whether a limiter admits a call. If not, it answers 503.
func allow(ctx *fasthttp.RequestCtx, limiter *rate.Limiter) bool {
	if !limiter.Allow() {
		ctx.Error("rate exceeded", fasthttp.StatusServiceUnavailable)
		return false
	}
	return true
}

// answerWrite answers a write, unless the fault drops the answer.
func (p *platformServer) answerWrite(ctx *fasthttp.RequestCtx, answer any) {
	p.mu.Lock()
	lost := p.fault.LoseAnswers > 0
	if lost {
		p.fault.LoseAnswers--
	}
	p.mu.Unlock()
	if lost {
		cutConnection(ctx)
		return
	}
	writeJSON(ctx, answer)
}

// get answers a read of rows by their keys.
func (p *platformServer) get(ctx *fasthttp.RequestCtx) {
	var request tableservice.GetRequest
	if !allow(ctx, p.reads) || !readJSON(ctx, &request) {
		return
	}
	rows, err := p.table.Get(ctx, request.Keys...)
	answerRows(ctx, rows, err)
}

// list answers a read of rows by the prefix of their keys.
func (p *platformServer) list(ctx *fasthttp.RequestCtx) {
	var request tableservice.ListRequest
	if !allow(ctx, p.reads) || !readJSON(ctx, &request) {
		return
	}
	rows, err := p.table.List(ctx, request.Prefix)
	answerRows(ctx, rows, err)
}

func answerRows(ctx *fasthttp.RequestCtx, rows []ryeford.Row, err error) {
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	writeJSON(ctx, &tableservice.RowsResponse{Rows: rows})
}

// transact applies all writes of a request, or none if there is a conflict.
func (p *platformServer) transact(ctx *fasthttp.RequestCtx) {
	var request tableservice.TransactRequest
	if !allow(ctx, p.writes) || !readJSON(ctx, &request) {
		return
	}
	version, state, err := p.write(ctx, request.Writes)
	var conflict *ryeford.ConflictError
	switch {
	case errors.As(err, &conflict):
		p.answerWrite(ctx, &tableservice.TransactResponse{Conflicts: conflict.Keys})
	case err != nil:
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	default:
		p.file.save(state)
		p.answerWrite(ctx, &tableservice.TransactResponse{Version: version})
	}
}

// write applies all writes or none. It returns the new version of the rows, and the state to
// save. It sets the fault Down after a write of the row DownAfterKey.
func (p *platformServer) write(ctx context.Context, writes []ryeford.Write) (int64, *platformState, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	version, err := p.table.Transact(ctx, writes...)
	if err != nil {
		return 0, nil, err
	}
	for _, w := range writes {
		p.fault.Down = p.fault.Down || w.Key == p.fault.DownAfterKey
	}
	return version, p.state(), nil
}

// object serves a read or a write of an object.
func (p *platformServer) object(ctx *fasthttp.RequestCtx, name string) {
	if ctx.IsPut() {
		p.putObject(ctx, name)
		return
	}
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

func (p *platformServer) putObject(ctx *fasthttp.RequestCtx, name string) {
	if !allow(ctx, p.writes) {
		return
	}
	p.mu.Lock()
	p.objects[name] = slices.Clone(ctx.PostBody())
	state := p.state()
	p.mu.Unlock()
	p.file.save(state)
	p.answerWrite(ctx, struct{}{})
}
