package endpoint

// An UnsentError says that nothing of a request has reached the endpoint: it did not
// run.
type UnsentError struct {
	Err error
}

// Error returns the text of e.
func (e *UnsentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause of e.
func (e *UnsentError) Unwrap() error { return e.Err }

// A LostError says that a request was sent, and that no usable response came: it
// may have run.
type LostError struct {
	Err error
}

// Error returns the text of e.
func (e *LostError) Error() string { return "answer lost: " + e.Err.Error() }

// Unwrap returns the cause of e.
func (e *LostError) Unwrap() error { return e.Err }

// A MismatchedResponseError says that a response belongs to another request, or to
// none.
type MismatchedResponseError struct{}

// Error returns the text of e.
func (e *MismatchedResponseError) Error() string { return "the answer is another request's" }

// An UnverifiedResponseError says that a success lacks the endpoint's signature, or
// that a body is encoded and thus not the endpoint's own bytes.
type UnverifiedResponseError struct{}

// Error returns the text of e.
func (e *UnverifiedResponseError) Error() string { return "the answer is not the endpoint's own" }

// A TooLargeError says that a response is larger than the reader's limit.
type TooLargeError struct{}

// Error returns the text of e.
func (e *TooLargeError) Error() string { return "the answer is too large" }
