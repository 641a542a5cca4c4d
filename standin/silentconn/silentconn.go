// Package silentconn plays the open connections of a server that have gone silent, without a
// reset, while new ones work, for tests: nothing shows it until a request is lost on one.
//
// It does not play connections that go silent midway through a response.
package silentconn

import (
	"net/http"
	"sync"
)

// A Handler is a server whose first connections get one response each, all of them at once, and
// none after that. Later ones are answered as if it were not there. It may be used concurrently.
type Handler struct {
	server http.Handler
	opened sync.WaitGroup // until the first connections are open

	mu     sync.Mutex
	left   int             // how many of the first connections have not come yet
	silent map[string]bool // connections, by the client's address
}

// New returns a server whose first so many connections go silent.
func New(server http.Handler, connections int) *Handler {
	h := &Handler{server: server, left: connections, silent: make(map[string]bool)}
	h.opened.Add(connections)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.isSilent(r.RemoteAddr) {
		<-r.Context().Done()
		return
	}
	if h.silenceFirst(r.RemoteAddr) {
		h.opened.Done()
		h.opened.Wait() // else a client could use one connection for all
	}
	h.server.ServeHTTP(w, r)
}

// isSilent reports whether a connection has gone silent.
func (h *Handler) isSilent(address string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.silent[address]
}

// silenceFirst lets a connection go silent after the present request if it is one of the first.
// It reports whether it is.
func (h *Handler) silenceFirst(address string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.left == 0 {
		return false
	}
	h.left--
	h.silent[address] = true
	return true
}
