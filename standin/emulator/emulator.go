// Package emulator runs a small stand-in of the users' platform as one process:
// its store of rows and any number of servers, with one address by which tests
// change them.
package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"

	"golang.org/x/sync/errgroup"

	"github.com/ryeford/ryeford/settings"
	"github.com/ryeford/ryeford/standin/appserver"
	"github.com/ryeford/ryeford/standin/rowstore"
)

// The paths of the tests' address.
const (
	PathChange = "/fault"
	PathRuns   = "/runs"
)

// The tables and keys that the emulator writes.
const (
	tableOperators = "op"
	keyConfig      = "config"
	tableServers   = "servers"
)

// stateGone in a Change drops a server's entry.
const stateGone = "gone"

// A Change is what a test does to the emulator. Each field may be left out.
type Change struct {
	// Store sets what is wrong with the store.
	Store *rowstore.Fault `json:"store"`
	// ForgetHistory drops the store's history.
	ForgetHistory bool `json:"forget_history"`
	// Configuration is the operators' next configuration.
	Configuration json.RawMessage `json:"configuration"`
	// Server names a server, or is empty for all of them. Fault strikes its next
	// Requests requests; State is what its entry says from now on.
	Server   string           `json:"server"`
	Fault    *appserver.Fault `json:"fault"`
	Requests int              `json:"requests"`
	State    string           `json:"state"`
}

// An Emulator is the stand-in.
type Emulator struct {
	settings *settings.Emulator
	store    *rowstore.Store
	servers  []*appserver.Server
}

// New returns an Emulator with the operators' first configuration, or none.
func New(s *settings.Emulator, configuration []byte) *Emulator {
	e := &Emulator{settings: s, store: rowstore.New()}
	if configuration != nil {
		e.store.Put(tableOperators, keyConfig, configuration)
	}
	for i := range s.Servers {
		server := &s.Servers[i]
		e.servers = append(e.servers, &appserver.Server{ID: server.ID, Events: server.Events, Step: server.Step})
	}
	return e
}

// Run runs the emulator until ctx ends.
func (e *Emulator) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for i, server := range e.servers {
		listen := e.settings.Servers[i].Address.AddrPort
		if err := serve(ctx, group, listen, server); err != nil {
			return err
		}
		if err := e.enter(i, "ready"); err != nil {
			return err
		}
	}
	if err := serve(ctx, group, e.settings.Store.AddrPort, e.store); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathChange, e.serveChange)
	mux.HandleFunc("GET "+PathRuns, e.serveRuns)
	if err := serve(ctx, group, e.settings.Admin.AddrPort, mux); err != nil {
		return err
	}
	return group.Wait()
}

// serve runs an HTTP server until ctx ends.
func serve(ctx context.Context, group *errgroup.Group, address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	group.Go(func() error {
		defer stop()
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// enter writes the entry of the i-th server.
func (e *Emulator) enter(i int, state string) error {
	server := &e.settings.Servers[i]
	if state == stateGone {
		e.store.Remove(tableServers, server.ID)
		return nil
	}
	_, err := e.store.PutJSON(tableServers, server.ID, map[string]any{
		"service": server.Service, "address": server.Address.String(), "zone": server.FailureDomain, "slots": 64, "state": state,
	})
	return err
}

// serveChange does what a test asks for.
func (e *Emulator) serveChange(w http.ResponseWriter, r *http.Request) {
	var change Change
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := e.Apply(&change); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// Apply does what a change says.
func (e *Emulator) Apply(change *Change) error {
	if change.Store != nil {
		e.store.SetFault(*change.Store)
	}
	if len(change.Configuration) > 0 {
		e.store.Put(tableOperators, keyConfig, change.Configuration)
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
		if change.State != "" {
			if err := e.enter(i, change.State); err != nil {
				return err
			}
		}
	}
	return nil
}

// serveRuns answers with how often each request has run, on all servers
// together.
func (e *Emulator) serveRuns(w http.ResponseWriter, _ *http.Request) {
	total := make(map[string]int)
	for _, server := range e.servers {
		for id, n := range server.AllRuns() {
			total[id] += n
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(total)
}
