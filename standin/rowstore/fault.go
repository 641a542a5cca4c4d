package rowstore

import (
	"net/http"
	"time"

	"github.com/ryeford/ryeford/internal/clock"
)

// A Fault is what is wrong with the store. The zero value is a store that works.
type Fault struct {
	// Status, unless zero, answers each call, which does nothing.
	Status int `json:"status"`
	// Silent accepts calls and never answers.
	Silent bool `json:"silent"`
	// Reset ends each call by closing its connection.
	Reset bool `json:"reset"`
	// Slow delays each response.
	Slow time.Duration `json:"slow"`
	// LoseAnswers makes each call, also a write, and never answers it.
	LoseAnswers bool `json:"lose_answers"`
	// DeafFeed withholds changes from calls that wait for them.
	DeafFeed bool `json:"deaf_feed"`
	// StaleReads answers reads as of when the fault was set.
	StaleReads bool `json:"stale_reads"`
}

// serve applies the fault to a call, and reports whether that ended the call. It panics
// with http.ErrAbortHandler to have net/http close the connection. A write whose answer is
// to be lost is made first, by serveTransaction; for a read it makes no difference.
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
