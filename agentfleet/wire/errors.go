package wire

import "fmt"

// A SizeError says that a message is larger than maxMessageSize.
type SizeError struct {
	Size uint32
}

// Error returns the text of e.
func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes is over %d", e.Size, maxMessageSize)
}

// A MalformedError says that bytes are not a message.
type MalformedError struct {
	Err error
}

// Error returns the text of e.
func (e *MalformedError) Error() string { return "malformed message: " + e.Err.Error() }

// Unwrap returns the cause of e.
func (e *MalformedError) Unwrap() error { return e.Err }
