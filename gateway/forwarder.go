package gateway

import (
	"net/http"

	"github.com/go-kit/log"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/endpoint"
	"github.com/ryeford/ryeford/gateway/loads"
	"github.com/ryeford/ryeford/gateway/outlier"
	"github.com/ryeford/ryeford/gateway/peers"
	"github.com/ryeford/ryeford/gateway/prefixcache"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/retry"
)

// A forwarder is what all exchanges share: what is known of the endpoints, and the
// connections to them. It owns nothing.
type forwarder struct {
	protocol      ryeford.Protocol
	configuration *configuration
	balancer      *balancer
	roster        *roster.Roster
	detector      *outlier.Detector
	pool          *endpoint.Pool
	loads         *loads.Table
	prefixes      *prefixcache.Index
	gossip        *gossip
	peers         *peers.Table
	minSharers    int // of the retry budget's reserve, from the settings
	durations     *durations
	fastest       *fastest
	refusals      *refusals
	log           log.Logger
	metrics       *telemetry.Set
}

// newExchange returns the exchange that serves a request, and writes its response to w.
func (f *forwarder) newExchange(q *request, r *http.Request, w http.ResponseWriter) *exchange {
	x := &exchange{
		forwarder: f,
		request:   q,
		incoming:  r,
		policy:    retry.ForRoute(q.rule),
		tried:     make(map[ryeford.EndpointID]bool),
	}
	x.relay = relay{
		writer:   w,
		control:  http.NewResponseController(w),
		protocol: f.protocol,
		metrics:  f.metrics,
		arrived:  q.arrived,
		deadline: q.deadline,
		headOnly: r.Method == http.MethodHead,
	}
	return x
}
