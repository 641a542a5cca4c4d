package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/platform/wire"
)

// A reply is a response as the caller received it.
type reply struct {
	id     string
	status int
	header http.Header
	body   string
	close  bool  // the connection is closed after the response
	err    error // the request failed or the body was truncated
}

// request returns a caller's request, with a key unless key is empty.
func (f *fixture) request(method, path, key, body string) *http.Request {
	f.t.Helper()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	request, err := http.NewRequest(method, f.base+path, reader)
	assert.NilError(f.t, err)
	f.requests++
	request.Host = testHost
	request.Header.Set(wire.HeaderRequestID, fmt.Sprintf("r%d", f.requests))
	request.Header.Set(wire.HeaderTimeout, "5000")
	if key != "" {
		request.Header.Set(wire.HeaderAuthorization, "Bearer "+key)
	}
	return request
}

// do sends a request and reads its response.
func (f *fixture) do(request *http.Request) reply {
	f.t.Helper()
	id := request.Header.Get(wire.HeaderRequestID)
	response, err := f.client.Do(request)
	if err != nil {
		return reply{id: id, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{id: id, status: response.StatusCode, header: response.Header, body: string(body), close: response.Close, err: err}
}

// call sends a request with a valid key.
func (f *fixture) call(method, path string) reply {
	f.t.Helper()
	return f.do(f.request(method, path, "key-1", ""))
}

// runs returns how many times a request has run at all endpoints together.
func (f *fixture) runs(id string) int {
	n := 0
	for _, server := range f.endpoints {
		n += server.Runs()[id]
	}
	return n
}

// events returns a complete stream of n events.
func events(n int) string {
	var b bytes.Buffer
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", i, i)
	}
	return b.String()
}
