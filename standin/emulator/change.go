package emulator

import (
	"encoding/json"
	"net/http"

	"github.com/ryeford/ryeford/platform/wire"
	"github.com/ryeford/ryeford/standin/appserver"
	"github.com/ryeford/ryeford/standin/rowstore"
)

// The paths of the admin address.
const (
	pathChange = "/fault" // POST: a Change
	pathRuns   = "/runs"  // GET: how often each request has run
)

// stateGone in a Change removes an endpoint's row.
const stateGone = "gone"

// A Change is what a test does to the emulator. Each field may be left out.
type Change struct {
	// Store sets what is wrong with the store.
	Store *rowstore.Fault `json:"store"`
	// ForgetHistory makes the store forget its changes up to now.
	ForgetHistory bool `json:"forget_history"`
	// Configuration is the operators' next configuration.
	Configuration json.RawMessage `json:"configuration"`
	// Server is the ID of an endpoint, or empty for all of them. Fault applies to its
	// next Requests requests, or to all if negative; State is what its row says from
	// now on.
	Server   string           `json:"server"`
	Fault    *appserver.Fault `json:"fault"`
	Requests int              `json:"requests"`
	State    string           `json:"state"`
}

// adminHandler serves the admin address.
func (e *Emulator) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathChange, e.serveChange)
	mux.HandleFunc("GET "+pathRuns, e.serveRuns)
	return mux
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

// apply makes a change.
func (e *Emulator) apply(change *Change) error {
	if change.Store != nil {
		e.store.SetFault(*change.Store)
	}
	if len(change.Configuration) > 0 {
		e.store.Put(wire.TableOperators, wire.KeyConfig, change.Configuration)
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

// serveRuns answers with how often each request has run, on all endpoints together.
func (e *Emulator) serveRuns(w http.ResponseWriter, _ *http.Request) {
	total := make(map[string]int)
	for _, server := range e.servers {
		for id, n := range server.AllRuns() {
			total[id] += n
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(total) // fails only if the test has gone
}
