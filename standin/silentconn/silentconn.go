// Package silentconn plays connections that silently stop working, without a reset, while new
// connections work, for tests. A client can detect such a connection only by a request that gets no
// response.
//
// It doesn't play connections that stop working in the middle of a response.
package silentconn

import (
	"net/http"
	"sync"
)

// A Handler wraps a server. Its first connections get one response each, not before all of them are
// open, and no further ones. Later connections are not affected. It may be used concurrently.
type Handler struct {
	server http.Handler
	opened sync.WaitGroup // waits until all of the first connections are open

	mu       sync.Mutex
	unopened int             // number of the first connections that are not open yet
	silent   map[string]bool // silent connections by the client's address
}

// New returns a Handler whose first connections, as many as given, become silent.
func New(server http.Handler, connections int) *Handler {
	h := &Handler{server: server, unopened: connections, silent: make(map[string]bool)}
	h.opened.Add(connections)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.isSilent(r.RemoteAddr) {
		<-r.Context().Done()
		return
	}
	if h.silence(r.RemoteAddr) {
		h.opened.Done()
		h.opened.Wait() // so that the client opens all connections instead of reusing one
	}
	h.server.ServeHTTP(w, r)
}

// isSilent reports whether a connection is silent.
func (h *Handler) isSilent(address string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.silent[address]
}

// silence makes a connection silent after the current request if it is one of the first connections,
// and reports whether it is.
func (h *Handler) silence(address string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unopened == 0 {
		return false
	}
	h.unopened--
	h.silent[address] = true
	return true
}
