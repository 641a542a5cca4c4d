package engine

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestServiceBody checks how a response body is split into chunks: the first one has the
// status, the last one ends the answer, and a truncated body is an error.
func TestServiceBody(t *testing.T) {
	for _, test := range []struct {
		rule   string
		body   int // bytes sent
		length int // Content-Length
		chunks int // 0: the body is truncated
	}{
		{"an empty body", 0, 0, 1},
		{"a short body", 10, 10, 1},
		{"a full chunk and an empty last one", serviceChunkSize, serviceChunkSize, 2},
		{"two chunks", serviceChunkSize + 1, serviceChunkSize + 1, 2},
		{"a truncated body", 10, 20, 0},
	} {
		t.Run(test.rule, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/plain")
				w.Header()["Content-Length"] = []string{strconv.Itoa(test.length)}
				w.WriteHeader(http.StatusAccepted)
				_, _ = io.WriteString(w, strings.Repeat("x", test.body))
			}))
			defer server.Close()
			client := NewService(netip.MustParseAddrPort(server.Listener.Addr().String()))
			reader, err := client.Call(t.Context(), &ryeford.Call{Attempt: "a1", Method: http.MethodGet, Path: "/notes"})
			assert.NilError(t, err)
			defer func() { _ = reader.Close() }()
			read := 0
			for i := range test.chunks {
				chunk, err := reader.Next()
				assert.NilError(t, err)
				assert.Equal(t, chunk.Offset, int64(i))
				assert.Equal(t, chunk.Status, map[bool]int{true: http.StatusAccepted}[i == 0])
				assert.Equal(t, chunk.Finish != "", i == test.chunks-1)
				read += len(chunk.Data)
			}
			_, err = reader.Next()
			if test.chunks == 0 {
				assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "%v", err)
				return
			}
			assert.Assert(t, errors.Is(err, io.EOF))
			assert.Equal(t, read, test.body)
		})
	}
}
