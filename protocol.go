package ryeford

import (
	"net/http"
	"net/netip"
	"time"
)

// A PromptPart is one part of a prompt. Requests whose prompts begin with the same parts can
// share the cached state of these parts on an engine.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// A RequestMeta is the metadata of a caller's request, parsed from its header.
type RequestMeta struct {
	ID RequestID
	// Key is the key of a client account. It is empty if the caller sends none.
	Key string
	// Timeout is how long the caller waits for the response. Zero means that it sets no timeout.
	Timeout time.Duration
	// Prefix holds the parts of the prompt in order. The last part is specific to this request
	// or its chat. It is nil for a request without a prompt.
	Prefix []PromptPart
	// LastEvent is the ID of the last event that the caller has received of a stream that it takes up
	// again. It is empty for a new stream.
	LastEvent string
	// Resumes is the ID of the request that brought the first event of that stream. It is empty if the
	// caller names none.
	Resumes RequestID
}

// A ForwardMeta is the metadata that the router adds to a request when it forwards the request
// to an endpoint.
type ForwardMeta struct {
	Request RequestID
	// Endpoint is the endpoint that the request is intended for. Any other endpoint refuses it.
	Endpoint EndpointID
	// Timeout is the time left until the request's deadline.
	Timeout time.Duration
	// Account is empty if the request belongs to no client account.
	Account  AccountID
	Priority Priority
	// FetchFrom is the address of an endpoint from which this one may fetch cached parts of the
	// prompt. It is invalid if there is none.
	FetchFrom netip.AddrPort
	// LastEvent is the ID of the last event that the caller has received. The endpoint continues
	// the stream after it. It is empty for a new stream.
	LastEvent string
}

// A ResponseMeta is the metadata of an endpoint's response, parsed from its header.
type ResponseMeta struct {
	// Request is the request that the response answers. It is empty if the response names none.
	Request RequestID
	// NotRun reports whether the endpoint states that it did not run the request.
	NotRun bool
	// Signed reports whether the response carries the endpoint's signature.
	Signed bool
	// Report is the endpoint's status report.
	Report EndpointReport
	// Encoded reports whether the body has a content encoding. Endpoints apply none, so
	// something between them and the router has changed the body.
	Encoded bool
}

// A Protocol translates between the headers of callers and endpoints and the types of this
// package. Package platform implements it. Its methods do no I/O and may be called
// concurrently.
type Protocol interface {
	// ParseRequest parses the metadata of a caller's request. The error is an *InputError; the
	// metadata returned with it holds the fields that could be parsed.
	ParseRequest(header http.Header) (*RequestMeta, error)
	// ForwardHeader returns the header to send to an endpoint: the caller's header without
	// hop-by-hop headers and headers reserved for the system, plus meta.
	ForwardHeader(caller http.Header, meta *ForwardMeta) http.Header
	// ParseResponse parses the metadata of an endpoint's response.
	ParseResponse(status int, header http.Header) ResponseMeta
	// ResponseHeader returns the header to send to the caller, given the header of the
	// endpoint's response.
	ResponseHeader(endpoint http.Header) http.Header
	// ErrorHeader sets the headers of an error response that the router generates. It omits the
	// request ID if it is empty, and the time to retry after if it is zero.
	ErrorHeader(header http.Header, request RequestID, retryAfter time.Duration)
}
