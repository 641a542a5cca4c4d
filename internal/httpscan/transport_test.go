package httpscan_test

import (
	"errors"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/internal/httpscan"
	"github.com/ryeford/ryeford/standin/rawresponse"
)

// get returns the status and the body of a server's response to a request of a client with a Transport.
func get(t *testing.T, response string) (status int, body string, err error) {
	t.Helper()
	server, err := rawresponse.Start(response)
	assert.NilError(t, err)
	defer server.Close()
	client := http.Client{Transport: httpscan.Transport{Transport: &http.Transport{}}}
	defer client.CloseIdleConnections()
	got, err := client.Get("http://" + server.Address().String())
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = got.Body.Close() }()
	content, err := io.ReadAll(got.Body)
	return got.StatusCode, string(content), err
}

// TestTransport checks that a malformed head is an error, and that a sound one is not, with or without interim ones.
func TestTransport(t *testing.T) {
	for name, text := range rawresponse.MalformedHeads("ok") {
		_, _, err := get(t, text)
		var head *httpscan.HeadError
		assert.Assert(t, errors.As(err, &head), "%s: %v", name, err)
	}
	for _, before := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"} {
		for text, want := range map[string]int{
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                                               200,
			"HTTP/1.1 404 Not Found\r\nTransfer-Encoding: chunked\r\nX_y.z: 1\r\n\r\n2\r\nok\r\n0\r\n\r\n": 404,
			"HTTP/1.1 599 Something\r\nConnection: close\r\n\r\nok":                                        599,
			"HTTP/1.0 503 Busy\r\n\r\nok":                                                                  503,
		} {
			status, body, err := get(t, before+text)
			assert.NilError(t, err, "%q", before+text)
			assert.Equal(t, status, want)
			assert.Equal(t, body, "ok")
		}
	}
}
