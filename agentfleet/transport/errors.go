package transport

import (
	"fmt"
	"net/netip"
)

// An Error is a failure of the transport.
type Error struct {
	Op      string         // what failed
	Address netip.AddrPort // of the peer or the socket; invalid if it is not known
	Err     error
}

// Error returns the text of e.
func (e *Error) Error() string {
	if !e.Address.IsValid() {
		return fmt.Sprintf("%s: %v", e.Op, e.Err)
	}
	return fmt.Sprintf("%s %s: %v", e.Op, e.Address, e.Err)
}

// Unwrap returns the cause of e.
func (e *Error) Unwrap() error { return e.Err }
