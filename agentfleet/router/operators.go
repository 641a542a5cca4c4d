package router

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/template"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// The paths of the operators' API.
const (
	PathTemplates = "/v1/templates"
	PathHistory   = "/v1/history/"
	PathVMs       = "/v1/vms/"
	PathStatus    = "/v1/status"
	PathExplain   = "/v1/explain/"
	PathPlan      = "/v1/plan"
)

const stopSuffix = "/stop"

// operatorTimeout limits one request of an operator, including the platform calls that
// a publish repeats.
const operatorTimeout = 10 * time.Second

// An operatorHandler serves operators' HTTP requests: templates, planned stops and the
// state of this router.
type operatorHandler struct {
	*sharedState
}

func (h *operatorHandler) serve(ctx *fasthttp.RequestCtx) {
	if !h.isOperator(ctx) {
		writeError(ctx, "", &ryeford.InputError{Field: "Authorization", Problem: "want the operators' bearer token", Status: fasthttp.StatusUnauthorized})
		return
	}
	workCtx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	answer, err := h.handle(workCtx, ctx)
	if err == nil {
		err = writeJSON(ctx, fasthttp.StatusOK, answer)
	}
	if err != nil {
		body, status := newOperatorErrorBody(err)
		_ = writeJSON(ctx, status, &body) // strings and numbers always encode
	}
}

// isOperator checks the operators' key in constant time.
func (h *operatorHandler) isOperator(ctx *fasthttp.RequestCtx) bool {
	got := sha256.Sum256(ctx.Request.Header.Peek("Authorization"))
	want := sha256.Sum256([]byte(bearerPrefix + h.settings.OperatorKey))
	return subtle.ConstantTimeCompare(got[:], want[:]) == 1
}

func (h *operatorHandler) handle(workCtx context.Context, ctx *fasthttp.RequestCtx) (any, error) {
	path := string(ctx.Path())
	name, isTemplate := strings.CutPrefix(path, PathTemplates+"/")
	history, isHistory := strings.CutPrefix(path, PathHistory)
	vm, isVM := strings.CutPrefix(path, PathVMs)
	request, isExplain := strings.CutPrefix(path, PathExplain)
	switch {
	case path == PathTemplates && ctx.IsPost():
		return h.publish(workCtx, ctx.PostBody())
	case path == PathTemplates:
		return h.templates.All(workCtx)
	case isTemplate:
		return readByName(workCtx, name, h.templates.Get)
	case isHistory:
		return readByName(workCtx, history, h.templates.History)
	case isVM && ctx.IsPost() && strings.HasSuffix(vm, stopSuffix):
		return h.stopVM(workCtx, ryeford.VMID(strings.TrimSuffix(vm, stopSuffix)))
	case path == PathStatus:
		return h.status(workCtx), nil
	case isExplain:
		return h.explain(workCtx, ryeford.RequestID(request)), nil
	case path == PathPlan:
		if plan := h.plan.Get(); plan != nil {
			return plan, nil
		}
		return &ryeford.Plan{}, nil
	}
	return nil, &ryeford.NotFoundError{Kind: "path", Name: path}
}

// publish accepts a template and puts it in force on this router immediately.
func (h *operatorHandler) publish(ctx context.Context, body []byte) (*ryeford.Template, error) {
	var t ryeford.Template
	if err := json.Unmarshal(body, &t); err != nil {
		return nil, &ryeford.InputError{Field: "body", Problem: err.Error()}
	}
	if err := template.Check(&t); err != nil {
		return nil, err
	}
	for _, hash := range t.KeyHashes {
		if owner, ok := h.templateCache.KeyOwner(hash); ok && owner != t.Account {
			return nil, &ryeford.InputError{Field: "keys", Problem: "a key belongs to another client account"}
		}
	}
	published, err := h.templates.Publish(ctx, t)
	if err != nil {
		h.decisions.Record("", "decision", "not_published", "account", t.Account, "template", t.Name, "change", t.PublishID, "based", t.Sequence, "err", err)
		return nil, err
	}
	h.decisions.Record("", "decision", "published", "account", t.Account, "template", t.Name, "change", t.PublishID,
		"sequence", published.Sequence, "revision", published.Revision)
	if !h.templateCache.Apply(published.Revision-1, published.Revision, []ryeford.Template{*published}) {
		// Other routers published in between. If this fails, syncTemplates or gossip
		// catches up.
		if err := h.readTemplates(ctx); err != nil {
			_ = h.log.Log("msg", "cannot read templates published by other routers; the template just published takes effect here at the next sync or gossip", "err", err)
		}
	}
	return published, nil
}

// readByName returns the result of read for the template named ACCOUNT/NAME.
func readByName[T any](ctx context.Context, s string, read func(context.Context, template.Name) (T, error)) (any, error) {
	name, err := template.ParseName(s)
	if err != nil {
		return nil, err
	}
	return read(ctx, name)
}

// stopVM begins a planned stop: it marks the VM as leaving in the platform's list and
// sends the agent there, if any, the order to leave. If that fails, the agent finds the
// mark in the list.
func (h *operatorHandler) stopVM(ctx context.Context, id ryeford.VMID) (*ryeford.VM, error) {
	vms, err := h.platform.VMs(ctx)
	if err != nil {
		return nil, err
	}
	at := slices.IndexFunc(vms, func(vm ryeford.VM) bool { return vm.ID == id })
	if at < 0 {
		return nil, &ryeford.NotFoundError{Kind: "VM", Name: string(id)}
	}
	vm := vms[at]
	vm.State = ryeford.VMLeaving
	if err := h.platform.PutVM(ctx, vm); err != nil {
		return nil, err
	}
	h.fleet.setVM(vm)
	if a, ok := h.fleet.agentByVM(id); ok {
		_, err = a.conn.RoundTrip(ctx, &wire.Message{Leave: &wire.Leave{}})
	}
	h.decisions.Record("", "decision", "stop_vm", "vm", id, "role", vm.Role, "failure_domain", vm.FailureDomain, "err", err)
	return &vm, nil
}

const (
	// queryTimeout limits one agent's reply to an operator's query.
	queryTimeout = time.Second

	// maxQueries is how many agents are queried at once. It limits the streams that one
	// operator's request opens.
	maxQueries = 32
)

// A Status is the state of a router and of the agents that it is connected to.
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

// An AgentStatus is the state of an agent as last reported to the router.
type AgentStatus struct {
	wire.Inventory
	Listed   ryeford.VMState `json:"listed"`
	Revision int64           `json:"revision"` // -1 if the agent did not reply
}

// An Explanation lists the decisions about a request, oldest first.
type Explanation struct {
	Request   ryeford.RequestID `json:"request"`
	Decisions []string          `json:"decisions"`
}

// status returns the router's state, with each agent's revision.
func (h *operatorHandler) status(ctx context.Context) *Status {
	s := &Status{
		Router:   h.settings.VM,
		Domain:   h.settings.FailureDomain,
		Ready:    h.readiness.ready(),
		Leaving:  h.readiness.leaving.Load(),
		Revision: h.templateCache.Revision(),
		InFlight: h.readiness.inFlight.Load(),
		Skew:     h.loads.skew(time.Now()),
	}
	agents := h.fleet.list()
	replies := h.queryAgents(ctx, agents, &wire.Message{Pull: &wire.Pull{Revision: s.Revision}})
	s.Agents = make([]AgentStatus, len(agents))
	for i, a := range agents {
		s.Agents[i] = AgentStatus{Inventory: *a.inventory, Listed: a.vm.State, Revision: -1}
		if m := replies[i]; m != nil && m.Delta != nil {
			s.Agents[i].Revision = m.Delta.Revision
		}
	}
	return s
}

func (h *operatorHandler) explain(ctx context.Context, request ryeford.RequestID) *Explanation {
	e := &Explanation{Request: request, Decisions: h.decisions.Lines(request)}
	query := &wire.Message{Explain: &wire.Explain{Request: request}}
	for _, m := range h.queryAgents(ctx, h.fleet.list(), query) {
		if m != nil && m.Decisions != nil {
			e.Decisions = append(e.Decisions, m.Decisions.Lines...)
		}
	}
	slices.Sort(e.Decisions) // each line begins with its time
	return e
}

// queryAgents sends the same query to all agents, maxQueries at once. It returns the
// replies in the order of the agents, nil for an agent that did not reply within
// queryTimeout.
func (h *operatorHandler) queryAgents(ctx context.Context, agents []*agent, query *wire.Message) []*wire.Message {
	replies := make([]*wire.Message, len(agents))
	var group errgroup.Group
	group.SetLimit(maxQueries)
	for i, a := range agents {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, queryTimeout)
			defer cancel()
			if m, err := a.conn.RoundTrip(ctx, query); err == nil {
				replies[i] = m
			}
			return nil
		})
	}
	_ = group.Wait() // a missing reply is not an error
	return replies
}
