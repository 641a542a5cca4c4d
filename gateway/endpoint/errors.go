package endpoint

// An UnsentError reports that no byte of a request has reached the endpoint: it did not run.
type UnsentError struct {
	Err error
}

func (e *UnsentError) Error() string { return "request not sent: " + e.Err.Error() }

func (e *UnsentError) Unwrap() error { return e.Err }

// A LostError reports that a request was sent and got no usable response: it may have run.
type LostError struct {
	Err error
}

func (e *LostError) Error() string { return "response lost: " + e.Err.Error() }

func (e *LostError) Unwrap() error { return e.Err }

// An UnusableResponseError reports a response that is not proven to be this endpoint's response to this request.
type UnusableResponseError struct {
	Problem string
}

func (e *UnusableResponseError) Error() string { return "unusable response: " + e.Problem }

// A TooLargeError reports that a response exceeds the reader's limit.
type TooLargeError struct{}

func (e *TooLargeError) Error() string { return "response too large" }
