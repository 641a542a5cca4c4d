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

// A Demand is what a caller's request says of itself, beside its method, target
// and body.
type Demand struct {
	ID  RequestID
	Key string
	// Deadline is how long the caller waits; zero where it does not say.
	Deadline time.Duration
	Model    string
	// Prefix holds the parts of the prompt in their order. The last belongs to
	// the request itself.
	Prefix []PromptPart
	// LastEvent is the event behind which the caller wants a stream to go on.
	LastEvent string
}

// An Offer is what the system tells an endpoint of a request, beside what the
// caller sent.
type Offer struct {
	Request  RequestID
	Endpoint EndpointID
	// Deadline is the time that is left.
	Deadline time.Duration
	Account  AccountID
	Urgency  int
	// FetchFrom is an engine to take cached parts of the prompt from.
	FetchFrom netip.AddrPort
	// LastEvent is the event behind which a stream is to go on.
	LastEvent string
}

// An AnswerMark is what an endpoint's answer says of itself, beside its status
// and body.
type AnswerMark struct {
	Request RequestID
	// NotRun is the endpoint's promise that it did not run the request.
	NotRun bool
	// Signed reports whether the answer bears the endpoint's signature.
	Signed bool
	Load   *EndpointLoad
	// Encoded reports whether the body is not the endpoint's plain bytes.
	Encoded bool
}

// A Protocol translates between the headers that callers and endpoints use and
// the product's own values.
type Protocol interface {
	// ReadDemand reads what a caller's request says of itself.
	ReadDemand(header http.Header) (*Demand, error)
	// ForwardHeader returns the header that an endpoint gets: the caller's, less
	// what belongs to one connection or is the system's to set, plus the offer.
	ForwardHeader(caller http.Header, offer *Offer) http.Header
	// ReadAnswer reads what an endpoint's answer says of itself.
	ReadAnswer(status int, header http.Header) AnswerMark
	// AnswerHeader returns the header that the caller gets of an endpoint's.
	AnswerHeader(endpoint http.Header) http.Header
	// RefusalHeader writes what an answer of the system's own carries.
	RefusalHeader(header http.Header, request RequestID, retryAfter time.Duration)
}
