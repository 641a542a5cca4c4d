package endpoint

import (
	"io"
	"net/http"

	"github.com/ryeford/ryeford"
)

// A Response is the head of an endpoint's response, and its body to be read. It is
// for one goroutine, which must call Close.
type Response struct {
	Status int
	Header http.Header
	Meta   ryeford.ResponseMeta

	pool       *Pool
	connection *connection // nil once closed
	body       io.ReadCloser
	// reusable says that the request was written whole and that the endpoint does not
	// close the connection after the response.
	reusable bool
	complete bool // the body was read to its end
	// stop ends the effect of the request's context on the connection. It reports
	// false if that context has already ended.
	stop func() bool
}

// Read implements io.Reader. io.EOF says that the response is whole.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF {
		r.complete = true
	}
	return n, err
}

// ReadAll reads the body, of at most limit bytes. The error is a *LostError; of a
// longer body it wraps a *TooLargeError.
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

// Close ends the use of a response. Its connection becomes idle if the request was
// written whole, the response read whole, the endpoint leaves the connection open and
// the request's context has not ended. Otherwise it is closed, at which the endpoint
// stops its work on the request.
func (r *Response) Close() {
	if r.connection == nil {
		return
	}
	c := r.connection
	r.connection = nil
	stopped := r.stop()
	if r.complete && r.reusable && stopped {
		r.pool.put(c)
		return
	}
	c.close()
}
