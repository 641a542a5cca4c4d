package ryeford

import (
	"net/http"
	"net/netip"
	"time"
)

// A PromptPart is one part of a prompt. Requests whose prompts begin with the
// same parts share what an engine keeps of them.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// A RequestMeta is the metadata of a caller's request: what its header says,
// apart from its method, target and body.
type RequestMeta struct {
	ID  RequestID
	Key string
	// Timeout is how long the caller waits from now; zero if it does not say.
	Timeout time.Duration
	// Prefix holds the parts of the prompt in their order. The last one belongs
	// to this request alone.
	Prefix []PromptPart
}

// A ForwardMeta is the metadata that the system adds to a request when it sends it
// to an endpoint.
type ForwardMeta struct {
	Request  RequestID
	Endpoint EndpointID
	// Timeout is the time left until the request's deadline.
	Timeout  time.Duration
	Account  AccountID
	Priority Priority
	// FetchFrom is an engine that the endpoint may fetch cached parts of the
	// prompt from; invalid if none is known.
	FetchFrom netip.AddrPort
	// LastEvent is the ID of the last event that the caller has; the endpoint
	// continues the stream after it.
	LastEvent string
}

// A ResponseMeta is the metadata of an endpoint's response: what its header says,
// apart from its status and body.
type ResponseMeta struct {
	Request RequestID
	// NotRun reports whether the endpoint states that it did not run the request.
	NotRun bool
	// Signed reports whether the response bears the endpoint's signature.
	Signed bool
	// Load is nil if the endpoint does not report it.
	Load *EndpointLoad
	// Encoded reports whether the body has a content encoding.
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
	// ErrorHeader sets the header of an error response that the system itself
	// makes. Without a request ID or a time to retry after, those are left out.
	ErrorHeader(header http.Header, request RequestID, retryAfter time.Duration)
}
