package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/catalog"
	"github.com/ryeford/ryeford/gateway/loads"
	"github.com/ryeford/ryeford/gateway/peers"
	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/platform"
	"github.com/ryeford/ryeford/route"
	"github.com/ryeford/ryeford/settings"
)

// BenchmarkChoose measures the choice of an endpoint, including all state that it reads, for several
// sizes of a deployment.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ endpoints, peers int }{{12, 4}, {47, 25}, {180, 102}, {3500, 389}} {
		b.Run(fmt.Sprintf("endpoints=%d/peers=%d", size.endpoints, size.peers), func(b *testing.B) {
			x := benchExchange(size.endpoints, size.peers)
			b.ReportAllocs()
			for b.Loop() {
				if to, _ := x.choose(); to == nil {
					b.Fatal("no endpoint was chosen")
				}
			}
		})
	}
}

// benchExchange returns an exchange of a router with the given number of endpoints and live peers. Each
// peer has requests at some of the endpoints.
func benchExchange(endpoints, alive int) *exchange {
	const loadsEach = 20
	g := New(settings.DefaultGateway(), Platform{Protocol: platform.Protocol{}}, log.NewNopLogger(), telemetry.NewSet())
	now := time.Now()
	update := &ryeford.EndpointUpdate{Snapshot: true, Revision: 1}
	for i := range endpoints {
		update.Present = append(update.Present, ryeford.Endpoint{ID: ryeford.EndpointID(fmt.Sprintf("i-%08x", i*7919)), Service: "s", Slots: 64})
	}
	g.roster.Apply(now, update, time.Time{})
	for i := range alive {
		message := &peers.Message{Complete: true, Sender: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000), Started: 1, Sequence: 1}
		total := 0
		for j := range min(loadsEach, endpoints) {
			message.Loads = append(message.Loads, peers.Load{Endpoint: update.Present[(i*31+j*17)%endpoints].ID, Requests: 1 + j%3})
			total += 1 + j%3
		}
		message.Totals = []peers.Total{{Service: loads.Key(route.NameHash("s")), Requests: total}}
		g.gossip.table.Receive(now.Add(time.Hour), message) // fresh while the benchmark runs
	}
	q := &request{
		meta:    &ryeford.RequestMeta{ID: "r", Prefix: []ryeford.PromptPart{{ID: 1, Tokens: 2500}, {ID: 2, Tokens: 6000}, {ID: 3, Tokens: 500}}},
		rule:    &ryeford.RouteRule{Name: "route"},
		catalog: catalog.New(&ryeford.Configuration{Version: 1}),
		service: "s",
	}
	q.setAffinity()
	return &exchange{forwarder: g.handler.forwarder, request: q, tried: make(map[ryeford.EndpointID]bool)}
}
