package endpoint

import (
	"io"
	"net/http"

	"github.com/ryeford/ryeford"
)

// A Response is the head of an endpoint's response, with the body to be read. It is not safe for concurrent use.
// The caller must call Close.
type Response struct {
	Status int
	Header http.Header
	Meta   ryeford.ResponseMeta
	// Unframed reports that the body has neither a length nor chunks: it ends with the connection, also if the endpoint
	// has crashed.
	Unframed bool

	pool       *Pool
	connection *connection // nil once closed
	write      *requestWrite
	body       io.ReadCloser
	length     int64 // of the body in bytes, or -1 if it is not known
	keepAlive  bool  // the endpoint leaves the connection open after the response
	complete   bool  // the body was read to its end
	// stop detaches the connection from the request's context. It reports false if that context has already
	// ended.
	stop func() bool
}

// Read implements io.Reader. io.EOF means that the response is complete, if it is not Unframed. The end of an Unframed
// one is io.EOF only if its connection ended in order.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err != io.EOF {
		return n, err
	}
	if r.Unframed {
		if err := r.write.interrupt(); err != nil {
			return n, err
		}
	}
	r.complete = true
	return n, io.EOF
}

// ReadAll reads the body, of at most limit bytes. The error is a *LostError, which wraps a *TooLargeError if the
// body is longer.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, &LostError{Err: err}
	}
	if int64(len(body)) > limit {
		return nil, &LostError{Err: &TooLargeError{}}
	}
	return body, nil
}

// Discard reads the body, of at most limit bytes, so that the connection can be used again.
func (r *Response) Discard(limit int64) {
	_, _ = io.Copy(io.Discard, io.LimitReader(r, limit)) // if it fails, the connection is closed
}

// CloseUnread closes a response whose body, of at most limit bytes, is not needed. It doesn't wait for the rest of the body,
// which may come without end: Close is called once that has been read, or after maxRestOfResponse.
func (r *Response) CloseUnread(limit int64) {
	if r.connection == nil {
		return
	}
	rest := *r
	r.connection = nil
	if rest.length >= 0 && rest.length <= int64(rest.connection.reader.Buffered()) {
		rest.Discard(limit)
		rest.Close()
		return
	}
	if stopped := rest.stop(); !stopped {
		rest.connection.close()
		return
	}
	rest.stop = func() bool { return true }
	go rest.pool.awaitRead(&rest, limit)
}

// Close releases a response's connection. The connection becomes idle once the request was written in full, if the
// response was read in full, the endpoint leaves the connection open and the request's context has not ended.
// Otherwise it is closed, upon which the endpoint cancels the request.
func (r *Response) Close() {
	if r.connection == nil {
		return
	}
	c := r.connection
	r.connection = nil
	stopped := r.stop()
	switch {
	case !r.complete || !r.keepAlive || !stopped:
		c.close()
	case r.write.finished():
		r.pool.putWritten(c, r.write)
	default:
		go r.pool.awaitWritten(c, r.write)
	}
}
