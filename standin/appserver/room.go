package appserver

import "context"

// A Room limits the requests of a server: it runs Slots requests at once, queues Queue more in the order of
// their arrival, and rejects others. Such a server reports no load.
type Room struct {
	Slots int `json:"slots"`
	Queue int `json:"queue"`
}

// room is the state of a limited server. The zero room is unlimited.
type room struct {
	slots    chan struct{} // holds an element for each request that runs
	admitted chan struct{} // holds an element for each request that runs or waits
}

// SetRoom limits the requests of the server from now on.
func (s *Server) SetRoom(limits Room) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.room = room{slots: make(chan struct{}, limits.Slots), admitted: make(chan struct{}, limits.Slots+limits.Queue)}
}

// Rejected returns the number of requests that were rejected for lack of room.
func (s *Server) Rejected() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected
}

// currentRoom returns the room that applies to a request that arrives now.
func (s *Server) currentRoom() room {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.room
}

func (r *room) limited() bool { return r.slots != nil }

// admit reports whether there is room for a request to run or wait.
func (r *room) admit() bool {
	if !r.limited() {
		return true
	}
	select {
	case r.admitted <- struct{}{}:
		return true
	default:
		return false
	}
}

// start waits for a slot. It returns false if ctx is done before.
func (r *room) start(ctx context.Context) bool {
	if !r.limited() {
		return true
	}
	select {
	case r.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		<-r.admitted
		return false
	}
}

// end releases the slot and the place of a request.
func (r *room) end() {
	if r.limited() {
		<-r.slots
		<-r.admitted
	}
}
