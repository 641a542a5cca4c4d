package endpoint

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ryeford/ryeford"
)

const (
	// maxStrayResponses is how many responses to other requests are skipped before the one
	// that is due: endpoints may send one too many.
	maxStrayResponses = 2
	// maxStrayBodyBytes is the size from which such a response is not skipped, in bytes.
	maxStrayBodyBytes = 1 << 20
	// headBufferSize is the memory set aside for a request's head, in bytes; a larger one
	// grows it.
	headBufferSize = 1 << 10
)

// expiredDeadline is a deadline that has passed: it ends what waits on a connection.
var expiredDeadline = time.Unix(1, 0)

// A Request is what is sent to an endpoint.
type Request struct {
	ID     ryeford.RequestID
	Method string
	Target string // as the caller wrote it, byte for byte
	Host   string
	// Header holds neither a length nor any other hop-by-hop header.
	Header http.Header
	Body   []byte
	// HasBody says that the caller sent a body, though it may be empty.
	HasBody bool
	// Once says that the request must not be sent again if it gets no response. Unless a
	// connection was used just before (onceIdle), a new one is opened, whose handshake proves
	// that the endpoint is reached.
	Once bool
}

// encode returns the bytes of a request. A body is framed by its length.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + headBufferSize)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	_ = r.Header.Write(&b) // a buffer's writes do not fail
	if r.HasBody {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// Send sends a request to an endpoint and waits for the response's head. When ctx
// ends, the connection is closed, so that the endpoint stops its work; until the
// response is closed that holds for its body too. The error is an *UnsentError or a
// *LostError.
//
// check is called right before the first byte is sent. Its error stops the request
// there and is the cause of the *UnsentError.
func (p *Pool) Send(ctx context.Context, to *ryeford.Endpoint, request *Request, check func() error) (*Response, error) {
	c, err := p.connection(ctx, to, request.Once)
	if err != nil {
		return nil, err
	}
	if err := check(); err != nil {
		p.putBack(c)
		return nil, &UnsentError{Err: err}
	}
	// A deadline can't be set only on a closed connection, which ends as well.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(expiredDeadline) })
	response, err := p.exchange(ctx, c, request)
	if err != nil {
		stop()
		c.close()
		return nil, err
	}
	response.stop = stop
	if request.Once {
		// Kept for longer, those of many routers fill an endpoint's limit, and it resets others.
		c.maxIdle = min(c.maxIdle, onceMaxIdle)
	}
	return response, nil
}

// connection returns an idle connection to an endpoint, or a new one. once says that it is for
// a request that must not be sent again. The error is an *UnsentError.
func (p *Pool) connection(ctx context.Context, to *ryeford.Endpoint, once bool) (*connection, error) {
	if c := p.idleConnection(to.ID, once); c != nil {
		return c, nil
	}
	return dial(ctx, to)
}

// exchange writes a request and reads the head of its response. A response is awaited
// even if a part of the request could not be written: an endpoint may respond early
// and close.
func (p *Pool) exchange(ctx context.Context, c *connection, request *Request) (*Response, error) {
	n, writeErr := c.Write(request.encode())
	if writeErr != nil && provablyUnsent(n, ctx.Err()) {
		return nil, &UnsentError{Err: writeErr}
	}
	for range maxStrayResponses + 1 {
		head, err := readHead(c, request.Method)
		if err != nil {
			if writeErr != nil {
				err = writeErr
			}
			return nil, &LostError{Err: err}
		}
		meta := p.protocol.ParseResponse(head.StatusCode, head.Header)
		if meta.Request == request.ID {
			return p.accept(c, head, meta, writeErr == nil)
		}
		if meta.Request == "" || !skipResponse(head) {
			break
		}
	}
	return nil, &LostError{Err: &UnusableResponseError{Problem: "another request's"}}
}

// provablyUnsent reports whether a write that failed after some bytes proves that the
// endpoint got nothing of the request. After the end of the request's context, which
// interrupts the write, nothing is concluded.
func provablyUnsent(written int, contextErr error) bool {
	return written == 0 && contextErr == nil
}

// accept returns the response that was due, unless its body is not the endpoint's
// own. written says that the whole request was.
func (p *Pool) accept(c *connection, head *http.Response, meta ryeford.ResponseMeta, written bool) (*Response, error) {
	success := head.StatusCode >= 200 && head.StatusCode < 300
	if meta.Encoded || (success && !meta.Signed) {
		return nil, &LostError{Err: &UnusableResponseError{Problem: "not the endpoint's own"}}
	}
	c.readKeepAlive(head.Header)
	return &Response{
		Status:     head.StatusCode,
		Header:     head.Header,
		Meta:       meta,
		pool:       p,
		connection: c,
		body:       head.Body,
		reusable:   written && !head.Close,
	}, nil
}

// readHead reads the head of the next response that is not an interim one (1xx).
func readHead(c *connection, method string) (*http.Response, error) {
	for {
		head, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if head.StatusCode >= 200 {
			return head, nil
		}
	}
}

// skipResponse reads a response to another request to its end, and reports whether the one
// that is due may follow. If not, the connection is closed, whatever the error was.
func skipResponse(head *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(head.Body, maxStrayBodyBytes))
	return err == nil && n < maxStrayBodyBytes && !head.Close
}
