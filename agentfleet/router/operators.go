package router

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/decision"
	"github.com/ryeford/ryeford/agentfleet/plan"
	"github.com/ryeford/ryeford/agentfleet/template"
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

const stopSuffix = "/stop"

// operatorTimeout bounds one request of an operator. Not measured: it leaves room for
// the calls of the platform that a publish repeats.
const operatorTimeout = 10 * time.Second

// An operatorHandler serves operators' HTTP: templates, planned stops, and what this
// router knows.
type operatorHandler struct {
	key       string       // the operators' bearer token
	vm        ryeford.VMID // of this router
	domain    string       // its failure domain
	vms       ryeford.VMList
	templates *template.Store
	book      *template.Book
	plan      *plan.Current
	fleet     *fleet
	loads     *loads
	readiness *readiness
	drain     *drain
	decisions *decision.Log
	log       log.Logger
}

// serve answers one request of an operator.
func (h *operatorHandler) serve(ctx *fasthttp.RequestCtx) {
	if !h.isOperator(ctx) {
		writeError(ctx, "", &ryeford.InputError{Field: "Authorization", Problem: "want the operators' bearer token", Status: fasthttp.StatusUnauthorized})
		return
	}
	work, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	answer, err := h.operate(work, ctx)
	var content []byte
	if err == nil {
		content, err = json.Marshal(answer)
	}
	if err != nil {
		body, status := newOperatorErrorBody(err)
		writeErrorBody(ctx, &body, status)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(content)
}

// isOperator checks the operators' key in constant time.
func (h *operatorHandler) isOperator(ctx *fasthttp.RequestCtx) bool {
	got := sha256.Sum256(ctx.Request.Header.Peek("Authorization"))
	want := sha256.Sum256([]byte(bearerPrefix + h.key))
	return subtle.ConstantTimeCompare(got[:], want[:]) == 1
}

// operate does what an operator asks.
func (h *operatorHandler) operate(work context.Context, ctx *fasthttp.RequestCtx) (any, error) {
	path := string(ctx.Path())
	name, isTemplate := strings.CutPrefix(path, PathTemplates+"/")
	history, isHistory := strings.CutPrefix(path, PathHistory)
	vm, isVM := strings.CutPrefix(path, PathVMs)
	request, isExplain := strings.CutPrefix(path, PathExplain)
	switch {
	case path == PathTemplates && ctx.IsPost():
		return h.publish(work, ctx.PostBody())
	case path == PathTemplates:
		return h.templates.All(work)
	case isTemplate:
		return h.getTemplate(work, name)
	case isHistory:
		return h.getHistory(work, history)
	case isVM && ctx.IsPost() && strings.HasSuffix(vm, stopSuffix):
		return h.stopVM(work, ryeford.VMID(strings.TrimSuffix(vm, stopSuffix)))
	case path == PathStatus:
		return h.status(work), nil
	case isExplain:
		return h.explain(work, ryeford.RequestID(request)), nil
	case path == PathPlan:
		if plan := h.plan.Get(); plan != nil {
			return plan, nil
		}
		return &ryeford.Plan{}, nil
	}
	return nil, &ryeford.NotFoundError{Kind: "path", Name: path}
}
