package endpoint

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ryeford/ryeford"
)

const (
	// maxStrayResponses is the maximum number of responses to other requests that are skipped before the
	// expected one.
	maxStrayResponses = 2
	// maxStrayBodyBytes is the body size from which such a response is not skipped.
	maxStrayBodyBytes = 1 << 20
	// headBufferSize is the initial buffer size for a request's head, in bytes.
	headBufferSize = 1 << 10
)

// ExpiredDeadline is a deadline in the past. It interrupts pending reads and writes.
var ExpiredDeadline = time.Unix(1, 0)

// A Request is a request to an endpoint.
type Request struct {
	ID     ryeford.RequestID
	Method string
	Target string // exactly as received from the caller
	Host   string
	// Header has no Content-Length and no other hop-by-hop header.
	Header http.Header
	Body   []byte
	// HasBody reports whether the caller sent a body, which may be empty.
	HasBody bool
	// NotRepeatable reports that the request must not be sent again if it gets no response. It uses a connection
	// that was idle for at most notRepeatableMaxIdle, or a new one, whose handshake proves that the endpoint is
	// reachable.
	NotRepeatable bool
}

// encode returns the request in wire format. A body has a Content-Length.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + headBufferSize)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	_ = r.Header.Write(&b) // writes to a buffer do not fail
	if r.HasBody {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// Send sends a request to an endpoint and waits for the head of the response. If ctx ends before the response is
// closed, the connection is closed, so that the endpoint cancels the request. The error is an *UnsentError or a
// *LostError.
//
// Send calls check right before it writes the first byte. If check fails, the request is not sent and the
// *UnsentError wraps the error.
func (p *Pool) Send(ctx context.Context, to *ryeford.Endpoint, request *Request, check func() error) (*Response, error) {
	c, err := p.connection(ctx, to, request.NotRepeatable)
	if err != nil {
		return nil, err
	}
	if err := check(); err != nil {
		p.putBack(c)
		return nil, &UnsentError{Err: err}
	}
	// SetDeadline fails only on a closed connection, on which the exchange ends anyway.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(ExpiredDeadline) })
	response, err := p.exchange(ctx, c, request)
	if err != nil {
		stop()
		c.close()
		return nil, err
	}
	response.stop = stop
	if request.NotRepeatable {
		// Idle connections of many routers could exceed an endpoint's connection limit, so that it resets others.
		c.maxIdle = min(c.maxIdle, notRepeatableMaxIdle)
	}
	return response, nil
}

// connection returns an idle connection to an endpoint, or a new one. notRepeatable reports that it is for a
// request that must not be sent again. The error is an *UnsentError.
func (p *Pool) connection(ctx context.Context, to *ryeford.Endpoint, notRepeatable bool) (*connection, error) {
	if c := p.idleConnection(to.ID, notRepeatable); c != nil {
		return c, nil
	}
	return dial(ctx, to)
}

// exchange writes a request and reads the head of its response. It reads a response even if the request was
// written only in part: an endpoint may respond early and close the connection.
func (p *Pool) exchange(ctx context.Context, c *connection, request *Request) (*Response, error) {
	write := startWrite(c.Conn, request.encode())
	if write.finished() && write.err != nil && provablyUnsent(write.written, ctx.Err()) {
		return nil, &UnsentError{Err: write.err}
	}
	for range maxStrayResponses + 1 {
		head, err := readHead(c, request.Method)
		if err != nil {
			return nil, unansweredError(ctx, write, err)
		}
		meta := p.protocol.ParseResponse(head.StatusCode, head.Header)
		if meta.Request == request.ID {
			return p.accept(c, head, meta, write)
		}
		if meta.Request == "" || !skipResponse(head, request.Method) {
			break
		}
	}
	return nil, &LostError{Err: &UnusableResponseError{Problem: "it lacks this request's ID"}}
}

// unansweredError returns the error of a request of whose response no head could be read.
func unansweredError(ctx context.Context, write *requestWrite, readErr error) error {
	writeErr := write.interrupt()
	if writeErr != nil && (errors.Is(readErr, io.EOF) || errors.Is(readErr, io.ErrUnexpectedEOF)) {
		readErr = writeErr
	}
	if provablyUnsent(write.written, ctx.Err()) {
		return &UnsentError{Err: readErr}
	}
	return &LostError{Err: readErr}
}

// provablyUnsent reports whether a failed exchange proves that the endpoint received nothing of the request, of which
// some bytes were written. The end of the request's context interrupts the write, so that it proves nothing after that.
func provablyUnsent(written int, contextErr error) bool {
	return written == 0 && contextErr == nil
}

// accept returns the expected response, unless its body is not proven to be the endpoint's.
func (p *Pool) accept(c *connection, head *http.Response, meta ryeford.ResponseMeta, write *requestWrite) (*Response, error) {
	success := head.StatusCode >= 200 && head.StatusCode < 300
	if meta.Encoded || (success && !meta.Signed) {
		return nil, &LostError{Err: &UnusableResponseError{Problem: "it is encoded or lacks the endpoint's signature"}}
	}
	c.readKeepAlive(head.Header)
	if !write.finished() {
		// The endpoint is alive, and may read the rest of the request at any time until the deadline.
		c.awaitAcks(true)
	}
	return &Response{
		Status:     head.StatusCode,
		Header:     head.Header,
		Meta:       meta,
		Unframed:   isUnframed(head),
		pool:       p,
		connection: c,
		write:      write,
		body:       head.Body,
		length:     head.ContentLength,
		keepAlive:  !head.Close,
	}, nil
}

// isUnframed reports whether a response's body ends with its connection.
func isUnframed(head *http.Response) bool {
	return head.ContentLength < 0 && len(head.TransferEncoding) == 0 && head.Body != http.NoBody
}

// readHead reads the head of the next final response and skips interim ones (1xx).
func readHead(c *connection, method string) (*http.Response, error) {
	c.beginHead()
	for {
		head, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if head.StatusCode >= 200 {
			c.beginBody(head)
			return head, nil
		}
		if declaresBody(head) {
			return nil, &UnusableResponseError{Problem: "an interim response has a body"}
		}
	}
}

// endsWithHead reports whether a response has no body, whatever the method of its request.
func endsWithHead(head *http.Response) bool {
	if head.StatusCode == http.StatusNoContent || head.StatusCode == http.StatusNotModified {
		return true
	}
	return len(head.TransferEncoding) == 0 && head.ContentLength == 0
}

// declaresBody reports whether a head states that a body follows, whatever its status and the method of its request.
func declaresBody(head *http.Response) bool {
	length := head.Header.Get("Content-Length")
	return len(head.TransferEncoding) > 0 || length != "" && length != "0"
}

// skipResponse reads a response to another request to its end. It reports whether another response may follow; if
// not, the connection must be closed. method is that of the request whose response is expected.
func skipResponse(head *http.Response, method string) bool {
	if method == http.MethodHead && !endsWithHead(head) {
		return false // it was read as a response to HEAD, but its request may have had another method
	}
	n, err := io.Copy(io.Discard, io.LimitReader(head.Body, maxStrayBodyBytes))
	return err == nil && n < maxStrayBodyBytes && !head.Close
}
