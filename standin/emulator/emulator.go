// Package emulator plays the users' platform in one process, for the soak, for tests
// of the built program, and for `ryeford dev --platform`: its store of rows
// (standin/rowstore) and any number of endpoints (standin/appserver), each at an
// address of its own, and an admin address at which a test changes them over HTTP.
//
// It does not play the platform's load balancer, the operator, machines and their
// links, or anything that the two stand-ins leave out.
package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/ryeford/ryeford/internal/httpserver"
	"github.com/ryeford/ryeford/platform/wire"
	"github.com/ryeford/ryeford/settings"
	"github.com/ryeford/ryeford/standin/appserver"
	"github.com/ryeford/ryeford/standin/rowstore"
)

// An Emulator is the stand-in.
type Emulator struct {
	settings *settings.Emulator
	store    *rowstore.Store
	servers  []*appserver.Server
	// date is the Date header of all answers; nil stands for the time of day.
	date atomic.Pointer[string]
	// sequence counts what the endpoints have written.
	sequence atomic.Int64

	mu sync.Mutex
	// born is the start of each endpoint, as its row says it last.
	born   []int64
	kept   *rowstore.Copy // the last one
	newest *rowstore.Copy // what the store had when it was restored, until that is written again
}

// New returns an Emulator with the operators' first configuration, in the platform's
// JSON; nil stands for none yet.
func New(s *settings.Emulator, configuration []byte) *Emulator {
	e := &Emulator{settings: s, store: rowstore.New()}
	if configuration != nil {
		e.store.Put(wire.TableOperators, wire.KeyConfig, configuration)
	}
	for i := range s.Servers {
		server := &s.Servers[i]
		e.servers = append(e.servers, &appserver.Server{ID: server.ID, Events: server.Events, Step: server.Step})
	}
	e.born = make([]int64, len(e.servers))
	return e
}

// Run runs the emulator until ctx ends.
func (e *Emulator) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for i := range e.servers {
		listener, err := net.Listen("tcp", e.settings.Servers[i].Address.String())
		if err != nil {
			return err
		}
		group.Go(func() error { return e.runServer(ctx, i, listener) })
		if err := e.enter(i, &Change{State: wire.StateReady}); err != nil {
			return err
		}
	}
	if err := serve(ctx, group, e.settings.Store.AddrPort, e.dated(e.store)); err != nil {
		return err
	}
	admin := http.NewServeMux()
	admin.HandleFunc("POST /fault", e.serveChange)
	admin.HandleFunc("GET /runs", e.serveRuns)
	admin.HandleFunc("GET /refusals", e.serveRefusals)
	if err := serve(ctx, group, e.settings.Admin.AddrPort, admin); err != nil {
		return err
	}
	return group.Wait()
}

// dated returns a handler whose answers carry the Date header that a test has set.
func (e *Emulator) dated(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if date := e.date.Load(); date != nil {
			w.Header().Set("Date", *date)
		}
		handler.ServeHTTP(w, r)
	})
}

// serve starts an HTTP server, which group runs until ctx ends.
func serve(ctx context.Context, group *errgroup.Group, address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	group.Go(func() error {
		defer stop()
		return httpserver.Serve(ctx, listener, server)
	})
	return nil
}

// enter writes the row of the i-th endpoint as a change says, or removes it.
func (e *Emulator) enter(i int, change *Change) error {
	server := &e.settings.Servers[i]
	if change.State == stateGone {
		e.store.Remove(wire.TableEndpoints, server.ID)
		return nil
	}
	_, err := e.store.PutJSON(wire.TableEndpoints, server.ID, wire.Endpoint{
		Service:       server.Service,
		Address:       server.Address.String(),
		FailureDomain: server.FailureDomain,
		Slots:         appserver.ReportedSlots,
		State:         change.State,
		ColdMs:        change.ColdMs,
		Born:          e.bornOf(i, change),
		Sequence:      e.sequence.Add(1),
	})
	return err
}

// bornOf returns the start of the i-th endpoint: that of a change, or else the last one.
func (e *Emulator) bornOf(i int, change *Change) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if change.Born != 0 {
		e.born[i] = change.Born
	}
	return e.born[i]
}

// stateGone in a Change removes an endpoint's row.
const stateGone = "gone"

// A Change is what a test does to the emulator. Each field may be left out.
type Change struct {
	// Store sets what is wrong with the store.
	Store *rowstore.Fault `json:"store"`
	// ForgetHistory makes the store forget its changes up to now.
	ForgetHistory bool `json:"forget_history"`
	// ClockStep makes the store's clock jump; ClockRate, unless zero, is how fast it runs
	// from now on, as a part of time's own speed.
	ClockStep time.Duration `json:"clock_step"`
	ClockRate float64       `json:"clock_rate"`
	// Date is the Date header of all answers, of the store and the endpoints, from now on;
	// empty stands for the time of day.
	Date *string `json:"date"`
	// KeepCopy keeps a copy of the store. Restore makes the store go on from the last one, and
	// WriteAgain has operators and endpoints write what that has lost of theirs.
	KeepCopy   bool `json:"keep_copy"`
	Restore    bool `json:"restore"`
	WriteAgain bool `json:"write_again"`
	// Lagging says whether reads of the store are answered as of this change now and then
	// (rowstore.Store.SetLagging).
	Lagging *bool `json:"lagging"`
	// Configuration is the operators' next configuration.
	Configuration json.RawMessage `json:"configuration"`
	// Evacuate is a failure domain that operators evacuate, and Withdraw one whose evacuation they
	// end.
	Evacuate string `json:"evacuate"`
	Withdraw string `json:"withdraw"`
	// Row is the key of an entry of the list of endpoints that another writer gives a Value.
	Row   string `json:"row"`
	Value string `json:"value"`
	// Server is the ID of an endpoint, or empty for all of them. Fault applies to its
	// next Requests requests, or to all if negative; State is what its row says from
	// now on.
	Server   string           `json:"server"`
	Fault    *appserver.Fault `json:"fault"`
	Requests int              `json:"requests"`
	State    string           `json:"state"`
	// Leaving says whether the endpoint's answers say that it leaves, whatever its row does, and Rest is
	// the Retry-After of what the fault shed refuses; none if it is empty.
	Leaving *bool   `json:"leaving"`
	Rest    *string `json:"rest"`
	// CrashBody is a body that ends an endpoint which begins to run a request with it; empty for none.
	// The endpoint is back a second later, as another life.
	CrashBody *string `json:"crash_body"`
	// ColdMs and Born are what the row says beside State; without Born it is as before.
	ColdMs float64 `json:"cold_ms"`
	Born   int64   `json:"born"`
}

// serveChange makes the change that a test posts.
func (e *Emulator) serveChange(w http.ResponseWriter, r *http.Request) {
	var change Change
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := e.apply(&change); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func (e *Emulator) apply(change *Change) error {
	if change.Store != nil {
		e.store.SetFault(*change.Store)
	}
	e.applyClock(change)
	e.applyRestore(change)
	if change.Lagging != nil {
		e.store.SetLagging(*change.Lagging)
	}
	if len(change.Configuration) > 0 {
		e.store.Put(wire.TableOperators, wire.KeyConfig, change.Configuration)
	}
	if change.Evacuate != "" {
		e.store.Put(wire.TableOperators, wire.PrefixEvacuation+change.Evacuate, []byte("{}"))
	}
	if change.Withdraw != "" {
		e.store.Remove(wire.TableOperators, wire.PrefixEvacuation+change.Withdraw)
	}
	if change.Row != "" {
		e.store.Put(wire.TableEndpoints, change.Row, []byte(change.Value))
	}
	if change.ForgetHistory {
		e.store.ForgetHistory()
	}
	for i, server := range e.servers {
		if change.Server != "" && change.Server != server.ID {
			continue
		}
		if change.Fault != nil {
			server.SetFault(*change.Fault, change.Requests)
		}
		if change.Leaving != nil {
			server.SetLeaving(*change.Leaving)
		}
		if change.Rest != nil {
			server.SetRest(*change.Rest)
		}
		if change.CrashBody != nil {
			server.SetCrashBody(*change.CrashBody)
		}
		if change.State != "" {
			if err := e.enter(i, change); err != nil {
				return err
			}
		}
	}
	return nil
}

// applyRestore keeps a copy of the store, restores it from that, and has written again what it lost.
func (e *Emulator) applyRestore(change *Change) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if change.KeepCopy {
		e.kept = e.store.Copy()
	}
	if change.Restore && e.kept != nil {
		e.newest = e.store.Copy()
		e.store.Restore(e.kept)
	}
	if change.WriteAgain && e.newest != nil {
		e.store.WriteAgain(e.newest, wire.TableOperators, wire.TableEndpoints)
		e.newest = nil
	}
}

// applyClock changes what the answers say of the time.
func (e *Emulator) applyClock(change *Change) {
	e.store.StepClock(change.ClockStep)
	if change.ClockRate != 0 {
		e.store.SetClockRate(change.ClockRate)
	}
	if change.Date == nil {
		return
	}
	if *change.Date == "" {
		e.date.Store(nil)
		return
	}
	e.date.Store(change.Date)
}

// serveRuns answers with how often each request has run, on all endpoints together.
func (e *Emulator) serveRuns(w http.ResponseWriter, _ *http.Request) {
	total := make(map[string]int)
	for _, server := range e.servers {
		for id, n := range server.Runs() {
			total[id] += n
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(total) // fails only if the test has gone
}

// serveRefusals answers with the requests that were refused with a Retry-After, by endpoint.
func (e *Emulator) serveRefusals(w http.ResponseWriter, _ *http.Request) {
	refusals := make(map[string][]appserver.Refusal)
	for _, server := range e.servers {
		refusals[server.ID] = server.Refusals()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(refusals) // fails only if the test has gone
}

// The demo's host and its services. The settings name their endpoints.
const (
	demoHost = "dev.example"
	// DemoModel and DemoNotes are the services of the demo configuration.
	DemoModel = "model"
	DemoNotes = "notes"
)

// DemoConfiguration returns a small configuration for trials, in the platform's JSON,
// with one client account and its key.
func DemoConfiguration(key string) []byte {
	return fmt.Appendf(nil, `{"version":1,
"routes":[
{"name":"chat","host":%[1]q,"pathPrefix":"/chat/","kind":"streaming","service":%[2]q,"timeoutMs":15000,"goalMs":500,"maxAttempts":2,"resumable":true,"priority":1},
{"name":"notes","host":%[1]q,"pathPrefix":"/notes/","kind":"unsafe","service":%[3]q,"timeoutMs":4000,"goalMs":300,"maxAttempts":1,"priority":2}],
"services":[{"name":%[3]q},{"name":%[2]q,"coldS":3,"coldPerS":4,"engine":{"slots":64,"kvCapacity":100000}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"demo","apiKeys":[%[4]q]}]}`, demoHost, DemoModel, DemoNotes, key)
}

// DemoCommand returns a shell command that sends a request with the demo account's
// key to a router.
func DemoCommand(callers netip.AddrPort, key string) string {
	return fmt.Sprintf("curl -sN http://%s/chat/1 -H 'Host: %s' -H '%s: 1' -H 'Authorization: Bearer %s' -d 'good morning'",
		callers, demoHost, wire.HeaderRequestID, key)
}
