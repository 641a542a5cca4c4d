package endpoint

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ryeford/ryeford"
)

// maxForeign is how many answers to other requests are passed over before the
// one that is due.
const maxForeign = 2

// maxForeignBody is how large an answer that is passed over may be.
const maxForeignBody = 1 << 20

// A Request is what is sent to an endpoint. Header holds neither a length nor
// anything else that concerns one connection.
type Request struct {
	ID     ryeford.RequestID
	Method string
	Target string // as the caller wrote it
	Host   string
	Header http.Header
	Body   []byte
	// HasBody says that the caller sent a body, though it may be empty.
	HasBody bool
}

// A Response is the head of an endpoint's answer, and its body to be read.
type Response struct {
	Status int
	Header http.Header
	Meta   ryeford.ResponseMeta

	pool       *Pool
	connection *connection
	body       io.ReadCloser
	reusable   bool
	whole      bool
	stop       func() bool
}

// Send sends a request to an endpoint and waits for the answer's head. When ctx
// ends the connection is closed, so that the endpoint stops its work. An error
// is an *UnsentError or a *LostError.
//
// ready is called right before the first byte is sent; an error of it stops the
// request there.
func (p *Pool) Send(ctx context.Context, to *ryeford.Endpoint, request *Request, ready func() error) (*Response, error) {
	c := p.take(to.ID)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, to.ID, to.Address); err != nil {
			return nil, err
		}
	}
	if err := ready(); err != nil {
		p.put(c)
		return nil, &UnsentError{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	answer, err := p.exchange(ctx, c, request)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, err
	}
	answer.stop = stop
	return answer, nil
}

// exchange writes a request and reads the head of its answer.
func (p *Pool) exchange(ctx context.Context, c *connection, request *Request) (*Response, error) {
	n, writeErr := c.Write(encode(request))
	if writeErr != nil && n == 0 && ctx.Err() == nil {
		return nil, &UnsentError{Err: writeErr}
	}
	for range maxForeign + 1 {
		response, err := readHead(c, request.Method)
		if err != nil {
			if writeErr != nil {
				err = writeErr
			}
			return nil, &LostError{Err: err}
		}
		meta := p.protocol.ParseResponse(response.StatusCode, response.Header)
		if meta.Request == request.ID {
			return p.accept(c, response, meta, writeErr == nil)
		}
		if meta.Request == "" || !skip(response) {
			break
		}
	}
	return nil, &LostError{Err: &MismatchedResponseError{}}
}

// accept checks the head of the answer that was due.
func (p *Pool) accept(c *connection, response *http.Response, meta ryeford.ResponseMeta, written bool) (*Response, error) {
	success := response.StatusCode >= 200 && response.StatusCode < 300
	if meta.Encoded || (success && !meta.Signed) {
		return nil, &LostError{Err: &UnverifiedResponseError{}}
	}
	c.noteKeepAlive(response.Header, p.options.IdleMargin)
	return &Response{
		Status:     response.StatusCode,
		Header:     response.Header,
		Meta:       meta,
		pool:       p,
		connection: c,
		body:       response.Body,
		reusable:   written && !response.Close,
	}, nil
}

// readHead reads the head of the next answer that is not an interim one.
func readHead(c *connection, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 200 {
			return response, nil
		}
	}
}

// skip reads an answer to another request to its end, and reports whether the
// next one may follow.
func skip(response *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBody))
	return err == nil && n < maxForeignBody && !response.Close
}

// encode returns the bytes of a request.
func encode(request *Request) []byte {
	var b bytes.Buffer
	b.Grow(len(request.Body) + 1024)
	b.WriteString(request.Method)
	b.WriteByte(' ')
	b.WriteString(request.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(request.Host)
	b.WriteString("\r\n")
	_ = request.Header.Write(&b)
	if request.HasBody {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(request.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(request.Body)
	return b.Bytes()
}

// Read implements io.Reader. io.EOF says that the answer is whole.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// ReadAll reads the body, of at most limit bytes.
func (a *Response) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a, limit+1))
	if err != nil {
		return nil, &LostError{Err: err}
	}
	if int64(len(body)) > limit {
		return nil, &LostError{Err: &TooLargeError{}}
	}
	return body, nil
}

// Close ends the use of an answer. A connection whose answer was read whole
// rests; any other is closed.
func (a *Response) Close() {
	if a.connection == nil {
		return
	}
	c := a.connection
	a.connection = nil
	stopped := a.stop()
	if a.whole && a.reusable && stopped {
		a.pool.put(c)
		return
	}
	_ = c.Close()
}
