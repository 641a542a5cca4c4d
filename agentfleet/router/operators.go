package router

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford"
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

// serveOperator answers one request of an operator.
func (r *Router) serveOperator(ctx *fasthttp.RequestCtx) {
	if !r.isOperator(ctx) {
		writeError(ctx, "", &ryeford.InputError{Field: "Authorization", Problem: "want the operators' bearer token", Status: fasthttp.StatusUnauthorized})
		return
	}
	work, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	answer, err := r.operate(work, ctx)
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
		if plan := r.plan.Get(); plan != nil {
			return plan, nil
		}
		return &ryeford.Plan{}, nil
	}
	return nil, &ryeford.NotFoundError{Kind: "path", Name: path}
}
