package standin

import (
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/engine"
	"github.com/ryeford/ryeford/settings"
)

// TestEngineAdmitted checks that a run's record has the admission time of the request's header,
// that it has none without the header, and that a malformed header is refused.
func TestEngineAdmitted(t *testing.T) {
	for _, test := range []struct {
		start  string // the value of HeaderStart
		status int
		micros int64 // of RunRecord.Admitted; zero if it is not set
	}{
		{"", fasthttp.StatusOK, 0},
		{"t=1796229370914653", fasthttp.StatusOK, 1_796_229_370_914_653},
		{"yesterday", fasthttp.StatusBadRequest, 0},
	} {
		e := newEngine(&settings.StandinEngine{Pools: []ryeford.Pool{{Model: "lira"}}})
		var ctx fasthttp.RequestCtx
		ctx.Request.Header.SetMethod(fasthttp.MethodPost)
		ctx.Request.SetRequestURI(engine.PathCompletions)
		ctx.Request.Header.Set(engine.HeaderAttempt, "a1")
		if test.start != "" {
			ctx.Request.Header.Set(engine.HeaderStart, test.start)
		}
		ctx.Request.SetBodyString(`{"model":"lira","max_tokens":1}`)
		e.serve(&ctx)
		assert.Equal(t, ctx.Response.StatusCode(), test.status, test.start)
		if test.status != fasthttp.StatusOK {
			assert.Equal(t, len(e.counts.Runs), 0)
			continue
		}
		admitted := e.counts.Runs[0].Admitted
		assert.Equal(t, admitted.IsZero(), test.micros == 0)
		assert.Assert(t, test.micros == 0 || admitted.UnixMicro() == test.micros)
	}
}
