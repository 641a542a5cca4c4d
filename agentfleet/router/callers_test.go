package router

import (
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/decision"
	"github.com/ryeford/ryeford/agentfleet/template"
	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/settings"
)

// newTestRouter returns a router with one account and no engine.
func newTestRouter() *Router {
	fleet := newFleet()
	s := settings.DefaultRouter()
	r := &Router{sharedState: sharedState{
		settings:      s,
		limits:        &s.Limits,
		templateCache: template.NewCache(),
		fleet:         fleet,
		loads:         newLoads(),
		readiness:     &readiness{fleet: fleet},
		metrics:       telemetry.NewSet(),
		decisions:     decision.NewLog(log.NewNopLogger()),
	}}
	r.addCallers()
	r.readiness.synced.Store(true)
	r.templateCache.Apply(0, 1, []ryeford.Template{{
		Account: "bank", Name: "calls", Model: "lira", Priority: 5, Share: 1, Revision: 1,
		KeyHashes: []string{ryeford.HashKey("bank-key")},
	}})
	return r
}

// sendCompletion sends a completion to a router's handler.
func sendCompletion(r *Router, headers map[string]string, body string) *fasthttp.RequestCtx {
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.Header.SetMethod("POST")
	ctx.Request.SetRequestURI(PathCompletions)
	for name, value := range headers {
		ctx.Request.Header.Set(name, value)
	}
	ctx.Request.SetBodyString(body)
	r.callers.serve(ctx)
	return ctx
}

// TestBadInput checks that each invalid request gets a 4xx response that states that it
// did not run.
func TestBadInput(t *testing.T) {
	r := newTestRouter()
	validBody := `{"model":"lira","messages":[{"role":"user","content":"hello"}]}`
	for _, test := range []struct {
		name, header, value, body string
		status                    int
	}{
		{"no key", "Authorization", "", validBody, 401},
		{"wrong key", "Authorization", "Bearer other", validBody, 401},
		{"not JSON", "", "", `{"model"`, 400},
		{"no messages", "", "", `{"model":"lira"}`, 400},
		{"unknown model", "", "", `{"model":"x","messages":[{}]}`, 404},
		{"bad tokens", "", "", `{"model":"lira","messages":[{}],"max_tokens":-1}`, 400},
		{"bad deadline", HeaderDeadline, "5", validBody, 400},
		{"bad priority", HeaderPriority, "10", validBody, 400},
		{"bad chat", HeaderChat, "a/b", validBody, 400},
		{"bad repeatable header", HeaderRepeatable, "maybe", validBody, 400},
	} {
		t.Run(test.name, func(t *testing.T) {
			headers := map[string]string{"Authorization": "Bearer bank-key"}
			if test.header != "" {
				headers[test.header] = test.value
			}
			ctx := sendCompletion(r, headers, test.body)
			assert.Equal(t, ctx.Response.StatusCode(), test.status)
			assert.Assert(t, string(ctx.Response.Header.ContentType()) == "application/json")
			assert.Assert(t, containsNotRun(ctx), string(ctx.Response.Body()))
		})
	}
}

func containsNotRun(ctx *fasthttp.RequestCtx) bool {
	return strings.Contains(string(ctx.Response.Body()), `"ran":"not_run"`)
}

// TestRefusalIsImmediate checks that a request that no engine can serve is refused
// without waiting, and that refused callers get different retry delays.
func TestRefusalIsImmediate(t *testing.T) {
	r := newTestRouter()
	seen := make(map[string]bool)
	for range 20 {
		ctx := sendCompletion(r, map[string]string{"Authorization": "Bearer bank-key", HeaderDeadline: "30s"},
			`{"model":"lira","messages":[{"role":"user","content":"hello"}]}`)
		assert.Equal(t, ctx.Response.StatusCode(), 503)
		assert.Assert(t, len(ctx.Response.Header.Peek("Retry-After")) > 0)
		seen[string(ctx.Response.Header.Peek(HeaderRetryAfterMS))] = true
	}
	assert.Assert(t, len(seen) > 10, "too few different retry delays")
}

// FuzzCaller checks that no input of a caller crashes the router, and that each gets an
// error status from a router without engines.
func FuzzCaller(f *testing.F) {
	f.Add("Bearer bank-key", "chat-1", "true", "2s", "5", `{"model":"lira","messages":[{"role":"user","content":"x"}]}`)
	f.Add("Bearer ", "", "false", "", "", `{`)
	r := newTestRouter()
	f.Fuzz(func(t *testing.T, auth, chat, repeatable, deadline, priority, body string) {
		ctx := sendCompletion(r, map[string]string{
			"Authorization": auth, HeaderChat: chat, HeaderRepeatable: repeatable, HeaderDeadline: deadline, HeaderPriority: priority,
		}, body)
		status := ctx.Response.StatusCode()
		assert.Assert(t, status >= 400 && status < 600, "status %d without an engine", status)
	})
}
