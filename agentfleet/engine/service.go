package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/httpscan"
	"github.com/ryeford/ryeford/retry"
)

// serviceChunkSize is the maximum number of bytes of a response body in one chunk.
const serviceChunkSize = 16 << 10

// A ServiceClient is a client of one service and implements ryeford.Service. Its errors
// are *Error.
type ServiceClient struct {
	base        string       // the service's URL without a path
	retrying    *http.Client // reuses connections, and may retry a call on a new one
	nonRetrying *http.Client // opens a new connection for each call, and never retries
}

// NewService returns a ServiceClient of the service at an address.
func NewService(address netip.AddrPort) *ServiceClient {
	return &ServiceClient{
		base:        "http://" + address.String(),
		retrying:    newServiceClient(&http.Transport{}),
		nonRetrying: newServiceClient(&http.Transport{DisableKeepAlives: true}),
	}
}

func newServiceClient(transport *http.Transport) *http.Client {
	return &http.Client{Transport: httpscan.Transport{Transport: transport}, CheckRedirect: noRedirect}
}

// Call implements ryeford.Service.
func (c *ServiceClient) Call(ctx context.Context, call *ryeford.Call) (ryeford.ChunkReader, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, &Error{Op: call.Path, Err: err}
	}
	request.GetBody = nil
	request.Header.Set(HeaderAttempt, string(call.Attempt))
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	client := c.nonRetrying
	if call.Repeatable {
		client = c.retrying
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, &Error{Op: call.Path, Err: err}
	}
	return &bodyReader{attempt: call.Attempt, response: response}, nil
}

// A bodyReader reads chunks from a plain response body. It implements ryeford.ChunkReader.
type bodyReader struct {
	attempt  ryeford.AttemptID
	response *http.Response
	offset   int64 // of the next chunk
	ended    bool
}

// Next implements ryeford.ChunkReader.
func (r *bodyReader) Next() (ryeford.Chunk, error) {
	if r.ended {
		return ryeford.Chunk{}, io.EOF
	}
	chunk := ryeford.Chunk{Attempt: r.attempt, Offset: r.offset}
	if r.offset == 0 {
		chunk.Status = r.response.StatusCode
		chunk.ContentType = r.response.Header.Get("Content-Type")
	}
	r.offset++
	data, err := io.ReadAll(io.LimitReader(r.response.Body, serviceChunkSize))
	if err != nil {
		return ryeford.Chunk{}, &Error{Op: "read body", Err: err}
	}
	chunk.Data = data
	if len(data) < serviceChunkSize {
		r.ended = true
		chunk.Finish = ryeford.FinishStop
	}
	return chunk, nil
}

// ResponseRetryAfter returns the back-off that a service requested with the response that
// reader reads, or zero if it did not request one.
func ResponseRetryAfter(reader ryeford.ChunkReader) time.Duration {
	r, ok := reader.(*bodyReader)
	if !ok {
		return 0
	}
	return retry.RetryAfter(r.response.StatusCode, r.response.Header)
}

// Close implements ryeford.ChunkReader.
func (r *bodyReader) Close() error { return r.response.Body.Close() }

// noRedirect makes a client return redirects instead of following them, which would be a
// second call.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}
