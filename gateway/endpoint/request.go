package endpoint

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/ryeford/ryeford"
)

// headSize is the memory set aside for a request's head, in bytes; a larger one
// grows it. Not measured.
const headSize = 1 << 10

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
}

// encode returns the bytes of a request. A body is framed by its length.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + headSize)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b) // a buffer's writes do not fail
	if r.HasBody {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}
