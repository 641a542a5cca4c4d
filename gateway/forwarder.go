package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/callermemory"
	"github.com/ryeford/ryeford/gateway/endpoint"
	"github.com/ryeford/ryeford/gateway/giveup"
	"github.com/ryeford/ryeford/gateway/overload"
	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/retry"
)

// A forwarder is the state that the handler and all exchanges share: tables of endpoint state,
// and the connections to the endpoints. It owns none of it.
type forwarder struct {
	*balancer
	protocol         ryeford.Protocol
	configuration    *configuration
	pool             *endpoint.Pool
	gossip           *gossip
	minBudgetRouters int // minimum number of routers that share the retry budget's reserve
	durations        *durations
	minResponseTimes *slidingWindow[time.Duration]
	refusals         *slidingWindow[giveup.RecentCounts]
	overload         *overload.Table
	quarantine       *quarantineState
	streams          *streams
	callerMemory     *callermemory.Budget // bodies of requests, and responses that callers have not read
	log              log.Logger
	metrics          *telemetry.Set
}

// newExchange returns the exchange that serves a request and writes its response to w.
func (f *forwarder) newExchange(q *request, r *http.Request, w http.ResponseWriter) *exchange {
	x := &exchange{
		forwarder: f,
		request:   q,
		incoming:  r,
		policy:    retry.ForRoute(q.rule),
		tried:     make(map[ryeford.EndpointID]bool),
	}
	x.relay = relay{
		writer:       w,
		control:      http.NewResponseController(w),
		protocol:     f.protocol,
		metrics:      f.metrics,
		memory:       f.callerMemory,
		arrived:      q.arrived,
		deadline:     q.deadline,
		headOnly:     r.Method == http.MethodHead,
		onFirstEvent: func(context.Context) error { return nil },
		onCutOff:     func() { f.recordSlowCaller(q.meta.ID, "response") },
	}
	if q.rule.Continuable() {
		x.stream = f.streams.tracker.New(q.meta.ID, q.service, q.accountID())
	}
	return x
}

// recordSlowCaller logs and counts a caller that is cut off for the memory that it holds. what is "body" or
// "response".
func (f *forwarder) recordSlowCaller(id ryeford.RequestID, what string) {
	f.metrics.Count("ryeford_slow_callers_total", what)
	_ = f.log.Log("decision", "slow_caller", "request", id, "what", what, "why", "cut off: it kept memory that others need", "limit", f.callerMemory.Limit())
}
