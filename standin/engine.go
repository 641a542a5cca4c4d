package standin

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/engine"
	"github.com/ryeford/ryeford/settings"
)

// The defaults of an engine's settings.
const (
	defaultStep       = 5200 * time.Microsecond // per token of an answer
	defaultSlots      = 16                      // concurrent requests
	defaultCacheChats = 1000                    // chats with a cached prompt
	// prefillPerStep is the number of prompt tokens that are processed per step.
	prefillPerStep = 64
)

// An engineServer plays a model engine: completions as event streams that can be resumed and
// cancelled, a prompt cache with its events, and orders to load pools. Its answers are computed
// from the prompt (see Answer), so that callers can verify them.
//
// Time passes in steps: generating a token takes one step, and so does processing
// prefillPerStep uncached tokens of a prompt, regardless of the load. It plays no model, no memory,
// and no slowdown by concurrent requests. Its state is lost when the process ends.
type engineServer struct {
	step     time.Duration
	loadTime time.Duration // from an order to load pools until they are served
	fences   bool          // refuses orders of an older epoch
	slots    slots

	mu       sync.Mutex
	fault    EngineFault
	affected int // number of runs that the fault has affected
	cache    *promptCache
	runs     map[ryeford.AttemptID]*run
	counts   EngineCounts
	serving  ryeford.Order
}

func newEngine(s *settings.StandinEngine) *engineServer {
	return &engineServer{
		step:     cmp.Or(s.Step, defaultStep),
		loadTime: s.LoadTime,
		fences:   s.ChecksFences,
		slots:    slots{free: cmp.Or(s.Slots, defaultSlots)},
		cache:    newPromptCache(cmp.Or(s.CacheChats, defaultCacheChats)),
		runs:     make(map[ryeford.AttemptID]*run),
		serving:  ryeford.Order{Pools: s.Pools},
	}
}

func (e *engineServer) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == PathFault:
		e.setFault(ctx)
	case path == PathRuns:
		e.writeRuns(ctx)
	case path == engine.PathEvents:
		e.cacheEvents(ctx)
	case path == engine.PathServing:
		e.serveOrder(ctx)
	case strings.HasPrefix(path, engine.PathCache):
		e.cacheContent(ctx, ryeford.ChatID(strings.TrimPrefix(path, engine.PathCache)))
	case path == engine.PathCompletions && ctx.IsPost():
		e.complete(ctx)
	case strings.HasPrefix(path, engine.PathCompletions+"/"):
		e.attempt(ctx, ryeford.AttemptID(strings.TrimPrefix(path, engine.PathCompletions+"/")))
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// setFault replaces the fault.
func (e *engineServer) setFault(ctx *fasthttp.RequestCtx) {
	var fault EngineFault
	if !readJSON(ctx, &fault) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault, e.affected = fault, 0
}

func (e *engineServer) writeRuns(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(ctx, &e.counts)
}

// An EngineFault is a simulated malfunction of an engine. The zero value means none. Numbers of
// tokens count from the beginning of an answer, including tokens that another engine generated.
type EngineFault struct {
	// Times is the number of runs that the fault affects. Zero means all runs until the fault
	// is replaced.
	Times int `json:"times"`
	// StallAfter is the number of tokens after which nothing more is sent, while the run stays
	// open.
	StallAfter int `json:"stall_after"`
	// DieAfter is the number of tokens after which the connection is closed and the run is lost,
	// as when the engine crashes.
	DieAfter int `json:"die_after"`
	// ErrorAfter is the number of tokens after which an error event is sent.
	ErrorAfter int `json:"error_after"`
	// Finish is a finish reason that ends an answer after FinishAfter tokens.
	Finish      ryeford.FinishReason `json:"finish"`
	FinishAfter int                  `json:"finish_after"`
	// Disorder sends events out of order, repeatedly, and with events of other attempts.
	Disorder bool `json:"disorder"`
	// Refuse answers completions with 503.
	Refuse bool `json:"refuse"`
	// RetryAfterS is the Retry-After of these answers in seconds. Zero sends none.
	RetryAfterS int `json:"retry_after_s"`
	// DelayMS delays the start of each run, in milliseconds.
	DelayMS int `json:"delay_ms"`
}

// serveOrder answers with the pools that are served, or accepts an order to load pools.
func (e *engineServer) serveOrder(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !ctx.IsPost() {
		writeJSON(ctx, &e.serving)
		return
	}
	var order ryeford.Order
	if !readJSON(ctx, &order) {
		return
	}
	if e.fences && order.Epoch < e.serving.Epoch {
		ctx.Error("fenced", fasthttp.StatusPreconditionFailed)
		return
	}
	e.serving.Epoch = order.Epoch
	time.AfterFunc(e.loadTime, func() { e.finishLoad(order) })
}

// finishLoad starts to serve the pools of an order, unless an order of another epoch has
// replaced it.
func (e *engineServer) finishLoad(order ryeford.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.serving.Epoch == order.Epoch {
		e.serving.Pools = order.Pools
	}
}

func (e *engineServer) serves(name string) bool {
	return slices.ContainsFunc(e.serving.Pools, func(p ryeford.Pool) bool { return p.String() == name })
}

// cacheEvents answers with the cache events after a sequence number.
func (e *engineServer) cacheEvents(ctx *fasthttp.RequestCtx) {
	after, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(ctx, e.cache.events[min(int(after), len(e.cache.events)):])
}

// cacheContent exports or imports a chat's KV cache.
func (e *engineServer) cacheContent(ctx *fasthttp.RequestCtx, chat ryeford.ChatID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.IsPut() {
		e.cache.store(chat, string(ctx.PostBody()))
		return
	}
	text, ok := e.cache.text(chat)
	if !ok {
		ctx.Error("not cached", fasthttp.StatusNotFound)
		return
	}
	ctx.SetBodyString(text)
}
