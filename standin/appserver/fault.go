package appserver

// A Fault is what a server does wrong.
type Fault string

// The faults.
const (
	FaultNone Fault = ""
	// FaultShed refuses a request and states that it did not run.
	FaultShed Fault = "shed"
	// FaultErrors runs a request and answers 500.
	FaultErrors Fault = "errors"
	// FaultBusy runs a request and answers 503 without stating that it did not run.
	FaultBusy Fault = "busy"
	// FaultHang runs a request and never answers.
	FaultHang Fault = "hang"
	// FaultReset runs a request and resets the connection.
	FaultReset Fault = "reset"
	// FaultCut closes the connection in the middle of the second event that it sends,
	// or of the body.
	FaultCut Fault = "cut"
	// FaultExtra sends a second response after a whole one.
	FaultExtra Fault = "extra"
	// FaultUnsigned leaves the signature out.
	FaultUnsigned Fault = "unsigned"
	// FaultEncoded marks the body as encoded.
	FaultEncoded Fault = "encoded"
	// FaultForeign sends the response to another request first.
	FaultForeign Fault = "foreign"
	// FaultGarbage sends bytes that are not HTTP.
	FaultGarbage Fault = "garbage"
	// FaultUnframed sends the body without a length, up to the connection's end.
	FaultUnframed Fault = "unframed"
)

// SetFault applies a fault to the next n requests, or to all if n is negative.
func (s *Server) SetFault(fault Fault, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.faults = fault, n
}

// nextFault returns the fault of the next request. s.mu is held.
func (s *Server) nextFault() Fault {
	if s.faults == 0 {
		return FaultNone
	}
	if s.faults > 0 {
		s.faults--
	}
	return s.fault
}
