package endpoint

// An UnsentError says that nothing of a request has reached the endpoint: it did not
// run.
type UnsentError struct {
	Err error
}

func (e *UnsentError) Error() string { return "not sent: " + e.Err.Error() }

func (e *UnsentError) Unwrap() error { return e.Err }

// A LostError says that a request was sent, and that no usable response came: it
// may have run.
type LostError struct {
	Err error
}

func (e *LostError) Error() string { return "answer lost: " + e.Err.Error() }

func (e *LostError) Unwrap() error { return e.Err }

// An UnusableResponseError says that a response came that is not provably this
// endpoint's to this request.
type UnusableResponseError struct {
	Problem string
}

func (e *UnusableResponseError) Error() string { return "the answer is " + e.Problem }

// A TooLargeError says that a response is larger than the reader's limit.
type TooLargeError struct{}

func (e *TooLargeError) Error() string { return "the answer is too large" }
