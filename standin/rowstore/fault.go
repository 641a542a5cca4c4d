package rowstore

import (
	"net/http"
	"time"

	"github.com/ryeford/ryeford/internal/clock"
)

// A Fault is a simulated fault of the store. The zero value means none.
type Fault struct {
	// Status, unless it is zero, is the status of all responses. Calls have no effect.
	Status int `json:"status"`
	// Silent accepts calls, which have no effect, and never answers.
	Silent bool `json:"silent"`
	// Reset closes the connection of each call without a response.
	Reset bool `json:"reset"`
	// Slow delays each response.
	Slow time.Duration `json:"slow"`
	// LoseAnswers executes each call, including writes, and never answers.
	LoseAnswers bool `json:"lose_answers"`
	// WithholdChanges withholds changes from calls that wait for changes.
	WithholdChanges bool `json:"deaf_feed"`
	// StaleReads answers reads with the state at the time when the fault was set.
	StaleReads bool `json:"stale_reads"`
}

// serve applies the fault to a call and reports whether that ended the call. It panics with
// http.ErrAbortHandler to make net/http close the connection. With LoseAnswers it does not end a
// write, which serveTransaction has to execute first. Reads have no effect, so serve ends them.
func (f Fault) serve(w http.ResponseWriter, r *http.Request) bool {
	if f.Slow > 0 {
		if !clock.Sleep(r.Context(), f.Slow) {
			return true
		}
	}
	switch {
	case f.Silent, f.LoseAnswers && r.Method != http.MethodPost:
		<-r.Context().Done()
		return true
	case f.Reset:
		panic(http.ErrAbortHandler)
	case f.Status != 0:
		w.WriteHeader(f.Status)
		return true
	}
	return false
}
