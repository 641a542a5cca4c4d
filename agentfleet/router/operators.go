package router

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/template"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// The paths that operators use.
const (
	PathTemplates = "/v1/templates"
	PathHistory   = "/v1/history/"
	PathVMs       = "/v1/vms/"
	PathStatus    = "/v1/status"
	PathExplain   = "/v1/explain/"
	PathPlan      = "/v1/plan"
)

const (
	stopSuffix      = "/stop"
	operatorTimeout = 10 * time.Second
	queryTimeout    = time.Second
	maxQueries      = 32
)

// A Status is what a router says of itself and of the agents it reaches.
type Status struct {
	Router   ryeford.VMID  `json:"router"`
	Domain   string        `json:"failure_domain"`
	Ready    bool          `json:"ready"`
	Leaving  bool          `json:"leaving"`
	Revision int64         `json:"revision"`
	InFlight int64         `json:"in_flight"`
	Skew     float64       `json:"skew"`
	Agents   []AgentStatus `json:"agents"`
}

// An AgentStatus is what a router knows of an agent.
type AgentStatus struct {
	VM          ryeford.VMID        `json:"vm"`
	Domain      string              `json:"failure_domain"`
	Incarnation ryeford.Incarnation `json:"incarnation"`
	Leaving     bool                `json:"leaving"`
	Listed      ryeford.VMState     `json:"listed"`
	Revision    int64               `json:"revision"` // -1 where it did not answer
	Engines     []EngineStatus      `json:"engines"`
}

// An EngineStatus is what a router knows of an engine or a service.
type EngineStatus struct {
	ID      ryeford.EngineID `json:"id"`
	Service string           `json:"service,omitempty"`
	Pools   []ryeford.Pool   `json:"pools,omitempty"`
}

// An Explanation is the decisions on a request, in the order of time.
type Explanation struct {
	Request   ryeford.RequestID `json:"request"`
	Decisions []string          `json:"decisions"`
}

// serveOperator answers one request of an operator.
func (r *Router) serveOperator(ctx *fasthttp.RequestCtx) {
	if !r.isOperator(ctx) {
		writeError(ctx, "", &ryeford.InputError{Field: "Authorization", Problem: "want the operators' bearer token", Status: fasthttp.StatusUnauthorized})
		return
	}
	work, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	answer, err := r.operate(work, ctx)
	if err != nil {
		writeOperatorError(ctx, err)
		return
	}
	content, err := json.Marshal(answer)
	if err != nil {
		writeOperatorError(ctx, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(content)
}

// isOperator checks the operators' key in constant time.
func (r *Router) isOperator(ctx *fasthttp.RequestCtx) bool {
	got := sha256.Sum256(ctx.Request.Header.Peek("Authorization"))
	want := sha256.Sum256([]byte(bearerPrefix + r.settings.OperatorKey))
	return subtle.ConstantTimeCompare(got[:], want[:]) == 1
}

// operate does what an operator asks.
func (r *Router) operate(work context.Context, ctx *fasthttp.RequestCtx) (any, error) {
	path := string(ctx.Path())
	name, isTemplate := strings.CutPrefix(path, PathTemplates+"/")
	history, isHistory := strings.CutPrefix(path, PathHistory)
	vm, isVM := strings.CutPrefix(path, PathVMs)
	request, isExplain := strings.CutPrefix(path, PathExplain)
	switch {
	case path == PathTemplates && ctx.IsPost():
		return r.publish(work, ctx.PostBody())
	case path == PathTemplates:
		return r.templates.All(work)
	case isTemplate:
		return r.getTemplate(work, name)
	case isHistory:
		return r.getHistory(work, history)
	case isVM && ctx.IsPost() && strings.HasSuffix(vm, stopSuffix):
		return r.stopVM(work, ryeford.VMID(strings.TrimSuffix(vm, stopSuffix)))
	case path == PathStatus:
		return r.status(work), nil
	case isExplain:
		return r.explain(work, ryeford.RequestID(request)), nil
	case path == PathPlan:
		if plan := r.planner.current(); plan != nil {
			return plan, nil
		}
		return &ryeford.Plan{}, nil
	}
	return nil, &ryeford.NotFoundError{Kind: "path", Name: path}
}

// publish accepts a template, and puts it in force here at once.
func (r *Router) publish(ctx context.Context, body []byte) (*ryeford.Template, error) {
	var t ryeford.Template
	if err := json.Unmarshal(body, &t); err != nil {
		return nil, &ryeford.InputError{Field: "body", Problem: err.Error()}
	}
	if err := template.Check(&t); err != nil {
		return nil, err
	}
	for _, hash := range t.KeyHashes {
		if owner, ok := r.book.KeyOwner(hash); ok && owner != t.Account {
			return nil, &ryeford.InputError{Field: "keys", Problem: "a key belongs to another client account"}
		}
	}
	from := r.book.Revision()
	published, err := r.templates.Publish(ctx, t)
	if err != nil {
		_ = r.decisions.Note("", "decision", "not_published", "account", t.Account, "template", t.Name, "change", t.Change, "based", t.Sequence, "err", err)
		return nil, err
	}
	_ = r.decisions.Note("", "decision", "published", "account", t.Account, "template", t.Name, "change", t.Change,
		"sequence", published.Sequence, "revision", published.Revision)
	if !r.book.Apply(published.Revision-1, published.Revision, []ryeford.Template{*published}) {
		if revision, templates, err := r.templates.Since(ctx, from); err == nil {
			r.book.Apply(from, revision, templates)
		}
	}
	return published, nil
}

// getTemplate returns a template as it was accepted last.
func (r *Router) getTemplate(ctx context.Context, text string) (*ryeford.Template, error) {
	name, err := template.ParseName(text)
	if err != nil {
		return nil, err
	}
	return r.templates.Get(ctx, name)
}

// getHistory returns all versions of a template.
func (r *Router) getHistory(ctx context.Context, text string) ([]ryeford.Template, error) {
	name, err := template.ParseName(text)
	if err != nil {
		return nil, err
	}
	return r.templates.History(ctx, name)
}

// stopVM begins a planned stop: it marks the VM as leaving in the platform's
// list and, for an endpoint VM, tells its agent at once.
func (r *Router) stopVM(ctx context.Context, id ryeford.VMID) (*ryeford.VM, error) {
	vms, err := r.platform.VMs(ctx)
	if err != nil {
		return nil, err
	}
	at := slices.IndexFunc(vms, func(vm ryeford.VM) bool { return vm.ID == id })
	if at < 0 {
		return nil, &ryeford.NotFoundError{Kind: "VM", Name: string(id)}
	}
	vm := vms[at]
	vm.State = ryeford.VMLeaving
	if err := r.platform.PutVM(ctx, vm); err != nil {
		return nil, err
	}
	r.fleet.setState(vm)
	if p, ok := r.fleet.vm(id); ok {
		_, err = p.conn.Ask(ctx, &wire.Message{Leave: &wire.Leave{}})
	}
	_ = r.decisions.Note("", "decision", "stop_vm", "vm", id, "role", vm.Role, "failure_domain", vm.FailureDomain, "err", err)
	return &vm, nil
}

// status returns what the router knows, with each agent's revision.
func (r *Router) status(ctx context.Context) *Status {
	s := &Status{
		Router:   r.settings.VM,
		Domain:   r.settings.FailureDomain,
		Ready:    r.Ready(),
		Leaving:  r.leaving.Load(),
		Revision: r.book.Revision(),
		InFlight: r.inFlight.Load(),
		Skew:     r.fleet.skew(time.Now()),
	}
	peers := r.fleet.all()
	s.Agents = make([]AgentStatus, len(peers))
	r.queryAgents(ctx, peers, &wire.Message{Pull: &wire.Pull{Revision: s.Revision}}, func(i int, m *wire.Message) {
		s.Agents[i] = agentStatus(peers[i])
		if m != nil && m.Delta != nil {
			s.Agents[i].Revision = m.Delta.Revision
		}
	})
	return s
}

// agentStatus returns what is known of an agent without asking it.
func agentStatus(p *agent) AgentStatus {
	a := AgentStatus{
		VM:          p.vm.ID,
		Domain:      p.inventory.FailureDomain,
		Incarnation: p.inventory.Incarnation,
		Leaving:     p.inventory.Leaving,
		Listed:      p.vm.State,
		Revision:    -1,
	}
	for _, e := range p.inventory.Engines {
		a.Engines = append(a.Engines, EngineStatus{ID: e.ID, Service: e.Service, Pools: e.Pools})
	}
	return a
}

// explain returns the decisions on a request, here and at the agents.
func (r *Router) explain(ctx context.Context, request ryeford.RequestID) *Explanation {
	e := &Explanation{Request: request, Decisions: r.decisions.Lines(request)}
	var mu sync.Mutex
	r.queryAgents(ctx, r.fleet.all(), &wire.Message{Explain: &wire.Explain{Request: request}}, func(_ int, m *wire.Message) {
		if m != nil && m.Decisions != nil {
			mu.Lock()
			defer mu.Unlock()
			e.Decisions = append(e.Decisions, m.Decisions.Lines...)
		}
	})
	slices.Sort(e.Decisions) // each line begins with its time
	return e
}

// queryAgents asks agents the same, a few at once. It calls take with each answer,
// which is nil where there was none.
func (r *Router) queryAgents(ctx context.Context, peers []*agent, query *wire.Message, take func(int, *wire.Message)) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxQueries)
	for i, p := range peers {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, queryTimeout)
			defer cancel()
			m, err := p.conn.Ask(ctx, query)
			if err != nil {
				m = nil
			}
			take(i, m)
		})
	}
	wait.Wait()
}

// writeOperatorError answers an operator with a failure.
func writeOperatorError(ctx *fasthttp.RequestCtx, err error) {
	var input *ryeford.InputError
	var sequence *template.SequenceError
	var conflict *ryeford.ConflictError
	var notFound *ryeford.NotFoundError
	var unavailable *ryeford.UnavailableError
	body := errorBody{Error: errorDetail{Code: "internal", Message: err.Error(), Ran: "unknown"}}
	status := fasthttp.StatusInternalServerError
	switch {
	case errors.As(err, &input):
		body.Error.Code, body.Error.Ran, status = "invalid_request", "not_run", fasthttp.StatusBadRequest
	case errors.As(err, &sequence), errors.As(err, &conflict):
		body.Error.Code, body.Error.Ran, status = "conflict", "not_run", fasthttp.StatusConflict
	case errors.As(err, &notFound):
		body.Error.Code, body.Error.Ran, status = "not_found", "not_run", fasthttp.StatusNotFound
	case errors.As(err, &unavailable):
		body.Error.Code, status = string(ryeford.ReasonStoreUnavailable), fasthttp.StatusServiceUnavailable
		if !unavailable.MayHaveApplied {
			body.Error.Ran = "not_run"
		}
	}
	content, marshalErr := json.Marshal(&body)
	if marshalErr != nil {
		content = []byte(`{"error":{"code":"internal"}}`)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(content)
}
