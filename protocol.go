package ryeford

import (
	"net/http"
	"net/netip"
	"time"
)

// A PromptPart is one part of a prompt. Requests whose prompts begin with the same
// parts share what an engine caches of them.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// A RequestMeta is the metadata of a caller's request: what its header says, apart
// from its method, target and body.
type RequestMeta struct {
	ID RequestID
	// Key is that of a client account; empty if the caller sends none.
	Key string
	// Timeout is how long the caller waits from now; zero if it does not say.
	Timeout time.Duration
	// Prefix holds the parts of the prompt in order. The last one belongs to this
	// request or its chat alone. Nil stands for a request without a prompt.
	Prefix []PromptPart
}

// A ForwardMeta is the metadata that the router adds to a request when it sends it
// to an endpoint.
type ForwardMeta struct {
	Request RequestID
	// Endpoint is the one that the request is meant for; no other one runs it.
	Endpoint EndpointID
	// Timeout is the time left until the request's deadline.
	Timeout time.Duration
	// Account is empty if the request belongs to no client account.
	Account  AccountID
	Priority Priority
	// FetchFrom is an endpoint that this one may fetch cached parts of the prompt
	// from; invalid if none is known.
	FetchFrom netip.AddrPort
	// LastEvent is the ID of the last event that the caller has; the endpoint
	// continues the stream after it. It is empty at a stream's beginning.
	LastEvent string
}

// A ResponseMeta is the metadata of an endpoint's response: what its header says,
// apart from its status and body.
type ResponseMeta struct {
	// Request is the one that the response is to; empty if it does not say.
	Request RequestID
	// NotRun reports whether the endpoint states that it did not run the request.
	NotRun bool
	// Signed reports whether the response bears the endpoint's signature.
	Signed bool
	// Report is what the endpoint says of itself.
	Report EndpointReport
	// Encoded reports whether the body has a content encoding, and thus is not the
	// endpoint's own.
	Encoded bool
}

// A Protocol translates between the headers that callers and endpoints use and
// the product's own values. Its methods do no I/O and may be called concurrently.
type Protocol interface {
	// ParseRequest reads the metadata of a caller's request. The error is an
	// *InputError; the metadata returned with it holds what could be read.
	ParseRequest(header http.Header) (*RequestMeta, error)
	// ForwardHeader returns the header that is sent to an endpoint: the caller's
	// without hop-by-hop headers and those that only the system may set, plus meta.
	ForwardHeader(caller http.Header, meta *ForwardMeta) http.Header
	// ParseResponse reads the metadata of an endpoint's response.
	ParseResponse(status int, header http.Header) ResponseMeta
	// ResponseHeader returns the header that is sent to the caller, given that of
	// the endpoint's response.
	ResponseHeader(endpoint http.Header) http.Header
	// ErrorHeader sets the header of an error response that the router itself
	// makes. Without a request ID or a time to retry after, those are left out.
	ErrorHeader(header http.Header, request RequestID, retryAfter time.Duration)
}
