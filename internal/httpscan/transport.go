package httpscan

import (
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// A HeadError reports a response that net/http has read though its head is none.
type HeadError struct {
	Part Part
	Text string // of the part
}

func (e *HeadError) Error() string { return fmt.Sprintf("malformed response: %s %q", e.Part, e.Text) }

// CheckHead returns a *HeadError if the status or the name of a field in a head that net/http has read is none, as Head does.
func CheckHead(status int, header map[string][]string) error {
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return &HeadError{Part: PartStatus, Text: fmt.Sprint(status)}
	}
	for name := range header {
		if !isName(name) {
			return &HeadError{Part: PartName, Text: name}
		}
	}
	return nil
}

// An InterimError reports interim responses whose heads are too large together.
type InterimError struct {
	Limit int64 // bytes
}

func (e *InterimError) Error() string {
	return fmt.Sprintf("the heads of interim responses exceeded %d bytes", e.Limit)
}

// interimHeads are the heads of the interim responses to a request.
type interimHeads struct {
	limit int64 // bytes of all together, which net/http doesn't limit if it shows them
	size  int64 // bytes
}

// check implements httptrace.ClientTrace.Got1xxResponse.
func (h *interimHeads) check(status int, header textproto.MIMEHeader) error {
	h.size += int64(len(statusLineStart) + statusLen + len("\r\n\r\n"))
	for name, values := range header {
		for _, value := range values {
			h.size += int64(len(name) + len(value) + len(":\r\n"))
		}
	}
	if h.size > h.limit {
		return &InterimError{Limit: h.limit}
	}
	return CheckHead(status, header)
}

// A Transport is a http.Transport that returns an error in place of a response whose head is none, or one of the interim
// responses before it. Requests that it sends may have been processed.
type Transport struct{ *http.Transport }

// defaultMaxHead is the limit of a head if the http.Transport sets none, in bytes: that of net/http.
const defaultMaxHead = 10 << 20

func (t Transport) limit() int64 {
	if t.MaxResponseHeaderBytes > 0 {
		return t.MaxResponseHeaderBytes
	}
	return defaultMaxHead
}

// RoundTrip implements http.RoundTripper. The error may be a *HeadError or an *InterimError.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	interim := interimHeads{limit: t.limit()}
	trace := &httptrace.ClientTrace{Got1xxResponse: interim.check}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response.StatusCode, response.Header); err != nil {
		_ = response.Body.Close() // unread, so that the connection is closed
		return nil, err
	}
	return response, nil
}
