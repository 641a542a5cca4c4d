// Package emulator plays the users' platform in one process, for the soak test, for tests of the
// built program, and for `ryeford dev --platform`. It serves a row store (standin/rowstore) and any
// number of endpoints (standin/appserver), each at its own address, and an admin address at which
// tests control them over HTTP.
//
// It doesn't play the platform's load balancer, operators, machines or network, or anything that
// rowstore and appserver don't play.
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

// An Emulator plays the users' platform.
type Emulator struct {
	settings *settings.Emulator
	store    *rowstore.Store
	servers  []*appserver.Server
	// date is the Date header of all responses. If it is nil, they have the current time.
	date atomic.Pointer[string]
	// sequence counts the row updates of all endpoints.
	sequence atomic.Int64

	mu sync.Mutex
	// started is the start time in the last row of each endpoint, in Unix milliseconds.
	started []int64
	// slots are the slots in the last row of each endpoint whose requests are limited.
	slots  []int
	backup *rowstore.Backup // the last one
	lost   *rowstore.Backup // the state before the last restore, until WriteAgain has used it
}

// New returns an Emulator with the operators' first configuration, in the platform's JSON. A nil
// configuration means that there is none yet.
func New(s *settings.Emulator, configuration []byte) *Emulator {
	e := &Emulator{settings: s, store: rowstore.New()}
	if configuration != nil {
		e.store.Put(wire.TableOperators, wire.KeyConfig, configuration)
	}
	for i := range s.Servers {
		server := &s.Servers[i]
		e.servers = append(e.servers, &appserver.Server{ID: server.ID, Software: server.Software, Events: server.Events, Step: server.Step})
	}
	e.started = make([]int64, len(e.servers))
	e.slots = make([]int, len(e.servers))
	return e
}

// Run runs the emulator until ctx is done or one of its servers fails.
func (e *Emulator) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for i := range e.servers {
		listener, err := net.Listen("tcp", e.settings.Servers[i].Address.String())
		if err != nil {
			return err
		}
		group.Go(func() error { return e.runServer(ctx, i, listener) })
		if err := e.updateRow(i, &Change{State: wire.StateReady}); err != nil {
			return err
		}
	}
	if err := serve(ctx, group, e.settings.Store.AddrPort, e.withDate(e.store)); err != nil {
		return err
	}
	admin := http.NewServeMux()
	admin.HandleFunc("POST /fault", e.serveChange)
	admin.HandleFunc("GET /runs", e.serveRuns)
	admin.HandleFunc("GET /refusals", e.serveRefusals)
	admin.HandleFunc("GET /rejected", e.serveRejected)
	if err := serve(ctx, group, e.settings.Admin.AddrPort, admin); err != nil {
		return err
	}
	return group.Wait()
}

// withDate returns a handler whose responses have the Date header that a test has set.
func (e *Emulator) withDate(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if date := e.date.Load(); date != nil {
			w.Header().Set("Date", *date)
		}
		handler.ServeHTTP(w, r)
	})
}

// serve starts an HTTP server, which group runs until ctx is done.
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

// updateRow writes the row of the i-th endpoint with the fields of a change, or removes it.
func (e *Emulator) updateRow(i int, change *Change) error {
	server := &e.settings.Servers[i]
	if change.State == stateGone {
		e.store.Remove(wire.TableEndpoints, server.ID)
		return nil
	}
	_, err := e.store.PutJSON(wire.TableEndpoints, server.ID, wire.Endpoint{
		Service:       server.Service,
		Address:       server.Address.String(),
		FailureDomain: server.FailureDomain,
		Version:       server.Software,
		Slots:         e.slotsOf(i, change),
		State:         change.State,
		ColdMs:        change.ColdMs,
		Born:          e.startOf(i, change),
		Sequence:      e.sequence.Add(1),
	})
	return err
}

// slotsOf returns the slots of the i-th endpoint's row, given a change.
func (e *Emulator) slotsOf(i int, change *Change) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if change.Room != nil {
		e.slots[i] = change.Room.Slots
	}
	if e.slots[i] == 0 {
		return appserver.ReportedSlots
	}
	return e.slots[i]
}

// startOf returns the start time of the i-th endpoint: that of the change, or else the last one.
func (e *Emulator) startOf(i int, change *Change) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if change.Started != 0 {
		e.started[i] = change.Started
	}
	return e.started[i]
}

// stateGone in a Change removes an endpoint's row.
const stateGone = "gone"

// A Change is a change that a test makes to the emulator. All fields are optional.
type Change struct {
	// Store replaces the store's fault.
	Store *rowstore.Fault `json:"store"`
	// DropHistory makes the store drop its change history.
	DropHistory bool `json:"forget_history"`
	// ClockStep is added to the store's clock. ClockRate, unless it is zero, is the new rate of
	// that clock, relative to real time.
	ClockStep time.Duration `json:"clock_step"`
	ClockRate float64       `json:"clock_rate"`
	// Date is the Date header of all further responses of the store and the endpoints. If it is
	// empty, they have the current time.
	Date *string `json:"date"`
	// Backup makes a backup of the store. Restore restores the store from the last backup.
	// WriteAgain makes operators and endpoints write again what the restore has lost of theirs.
	Backup     bool `json:"keep_copy"`
	Restore    bool `json:"restore"`
	WriteAgain bool `json:"write_again"`
	// Lagging sets whether every second read of the store gets its state at the time of this
	// change (rowstore.Store.SetLagging).
	Lagging *bool `json:"lagging"`
	// Configuration replaces the operators' configuration.
	Configuration json.RawMessage `json:"configuration"`
	// Evacuate is a failure domain to evacuate. Withdraw is one whose evacuation is withdrawn.
	Evacuate string `json:"evacuate"`
	Withdraw string `json:"withdraw"`
	// Row is the key of an entry in the list of endpoints that another writer sets to Value.
	Row   string `json:"row"`
	Value string `json:"value"`
	// Server is the ID of the endpoint to change, or empty for all endpoints. Fault applies to its
	// next Requests requests, or to all requests if Requests is negative. State is the new state
	// in its row.
	Server   string           `json:"server"`
	Fault    *appserver.Fault `json:"fault"`
	Requests int              `json:"requests"`
	State    string           `json:"state"`
	// Leaving sets whether the endpoint's responses report that it is leaving, regardless of its
	// row. RetryAfter is the Retry-After of requests refused by appserver.FaultShed; empty sends
	// none.
	Leaving    *bool   `json:"leaving"`
	RetryAfter *string `json:"rest"`
	// CrashBody is a request body that makes the endpoint crash when it starts to run the request;
	// empty for none. The endpoint restarts a second later, as a new incarnation.
	CrashBody *string `json:"crash_body"`
	// CrashPart is the ID of a prompt part that does the same, unless it is the last of its prompt.
	CrashPart *string `json:"crash_part"`
	// Unframed sets whether streams have neither a length nor chunks.
	Unframed *bool `json:"unframed"`
	// ColdMs and Started are further fields of the row, written with State. ColdMs is how much
	// longer the endpoint is cold, in milliseconds. Started is its start time in Unix milliseconds;
	// zero keeps the previous one.
	ColdMs  float64 `json:"cold_ms"`
	Started int64   `json:"born"`
	// Room limits the requests of the endpoint, and its slots are written with State.
	Room *appserver.Room `json:"room"`
}

// serveChange applies a posted Change.
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
	if change.DropHistory {
		e.store.DropHistory()
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
		if change.RetryAfter != nil {
			server.SetRetryAfter(*change.RetryAfter)
		}
		if change.CrashBody != nil {
			server.SetCrashBody(*change.CrashBody)
		}
		if change.CrashPart != nil {
			server.SetCrashPart(*change.CrashPart)
		}
		if change.Unframed != nil {
			server.SetUnframed(*change.Unframed)
		}
		if change.Room != nil {
			server.SetRoom(*change.Room)
		}
		if change.State != "" {
			if err := e.updateRow(i, change); err != nil {
				return err
			}
		}
	}
	return nil
}

// applyRestore makes a backup of the store, restores the store from it, and writes lost rows again.
func (e *Emulator) applyRestore(change *Change) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if change.Backup {
		e.backup = e.store.Backup()
	}
	if change.Restore && e.backup != nil {
		e.lost = e.store.Backup()
		e.store.Restore(e.backup)
	}
	if change.WriteAgain && e.lost != nil {
		e.store.WriteAgain(e.lost, wire.TableOperators, wire.TableEndpoints)
		e.lost = nil
	}
}

// applyClock changes the store's clock and the Date header of responses.
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

// serveRejected answers with the number of requests that endpoints had no room for.
func (e *Emulator) serveRejected(w http.ResponseWriter, _ *http.Request) {
	total := 0
	for _, server := range e.servers {
		total += server.Rejected()
	}
	_ = json.NewEncoder(w).Encode(total) // fails only if the client has disconnected
}

// serveRuns answers with the number of runs of each request on all endpoints, by request ID.
func (e *Emulator) serveRuns(w http.ResponseWriter, _ *http.Request) {
	total := make(map[string]int)
	for _, server := range e.servers {
		for id, n := range server.Runs() {
			total[id] += n
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(total) // fails only if the client has disconnected
}

// serveRefusals answers with the requests that were refused with a Retry-After, by endpoint ID.
func (e *Emulator) serveRefusals(w http.ResponseWriter, _ *http.Request) {
	refusals := make(map[string][]appserver.Refusal)
	for _, server := range e.servers {
		refusals[server.ID] = server.Refusals()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(refusals) // fails only if the client has disconnected
}

// The host and the services of the demo configuration. The settings list their endpoints.
const (
	demoHost = "dev.example"
	// DemoModel and DemoNotes are the services of the demo configuration.
	DemoModel = "model"
	DemoNotes = "notes"
)

// DemoConfiguration returns a small demo configuration in the platform's JSON. It has one client
// account, with the key.
func DemoConfiguration(key string) []byte {
	return fmt.Appendf(nil, `{"version":1,
"routes":[
{"name":"chat","host":%[1]q,"pathPrefix":"/chat/","kind":"streaming","service":%[2]q,"timeoutMs":15000,"goalMs":500,"maxAttempts":2,"resumable":true,"priority":1},
{"name":"notes","host":%[1]q,"pathPrefix":"/notes/","kind":"unsafe","service":%[3]q,"timeoutMs":4000,"goalMs":300,"maxAttempts":1,"priority":2}],
"services":[{"name":%[3]q},{"name":%[2]q,"coldS":3,"coldPerS":4,"engine":{"slots":64,"kvCapacity":100000}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"demo","apiKeys":[%[4]q]}]}`, demoHost, DemoModel, DemoNotes, key)
}

// DemoCommand returns a shell command that sends a request with the demo account's key to the
// router at an address.
func DemoCommand(callers netip.AddrPort, key string) string {
	return fmt.Sprintf("curl -sN http://%s/chat/1 -H 'Host: %s' -H '%s: 1' -H 'Authorization: Bearer %s' -d 'good morning'",
		callers, demoHost, wire.HeaderRequestID, key)
}
