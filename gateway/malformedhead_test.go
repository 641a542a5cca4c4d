package gateway_test

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/platform/wire"
)

// These tests guard against responses that are passed on though their heads are none in HTTP/1.1, and against callers that
// wait for the end of such a head until their deadline.

// idFields are the fields by which a response belongs to its request.
const idFields = "Ryeford-Request-Id: ID\r\nRyeford-Server-Stamp: s\r\n"

// plainAnswer is a sound response.
const plainAnswer = "HTTP/1.1 200 OK\r\n" + idFields + "Content-Length: 2\r\n\r\nok"

// malformedStatuses are responses whose status is none. The endpoint leaves its connection open after each.
var malformedStatuses = map[string]string{
	"000":                                 "HTTP/1.1 000 \r\n" + idFields + "Content-Length: 2\r\n\r\nok",
	"000 before a sound response":         "HTTP/1.1 000 \r\n" + idFields + "\r\n" + plainAnswer,
	"000 that states that it has not run": "HTTP/1.1 000 \r\n" + idFields + "Ryeford-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"600":                                 "HTTP/1.1 600 \r\n" + idFields + "Content-Length: 2\r\n\r\nok",
	"a response that is none":             "<html>",
	"another protocol on the same connection": "HTTP/1.1 101 Switching Protocols\r\n\r\n" + plainAnswer,
}

// TestMalformedStatusIsNotPassedOn checks that a caller whose request must not be repeated is told that it may have run.
func TestMalformedStatusIsNotPassedOn(t *testing.T) { checkNotPassedOn(t, malformedStatuses) }

// TestMalformedStatusIsRetried checks that a request that may be repeated is served by another endpoint.
func TestMalformedStatusIsRetried(t *testing.T) { checkRetried(t, malformedStatuses) }

// malformedFields are responses in whose heads a line is no field. The endpoint leaves its connection open after each.
var malformedFields = map[string]string{
	"a blank in a name":                                          "HTTP/1.1 200 OK\r\n" + idFields + "Two Words: x\r\nContent-Length: 2\r\n\r\nok",
	"a blank after the name of the length":                       "HTTP/1.1 200 OK\r\n" + idFields + "Content-Length : 2\r\n\r\nok",
	"a blank after the name of the framing":                      "HTTP/1.1 200 OK\r\n" + idFields + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"a control byte in a name":                                   "HTTP/1.1 200 OK\r\n" + idFields + "Key\x01: x\r\nContent-Length: 2\r\n\r\nok",
	"a blank in a name of an interim head":                       "HTTP/1.1 103 Early Hints\r\nTwo Words: x\r\n\r\n" + plainAnswer,
	"a blank in a name of another response":                      "HTTP/1.1 200 OK\r\nTwo Words: x\r\nRyeford-Request-Id: other\r\nContent-Length: 0\r\n\r\n" + plainAnswer,
	"a blank in a name beside the statement that it has not run": "HTTP/1.1 503 Busy\r\n" + idFields + "Two Words: x\r\nRyeford-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"a name without the end of its line":                         "HTTP/1.1 200 OK\r\n" + idFields + "Two Words",
}

// TestMalformedFieldIsNotPassedOn checks the same for heads with a line that is no field.
func TestMalformedFieldIsNotPassedOn(t *testing.T) { checkNotPassedOn(t, malformedFields) }

// TestMalformedFieldIsRetried checks the same.
func TestMalformedFieldIsRetried(t *testing.T) { checkRetried(t, malformedFields) }

func checkNotPassedOn(t *testing.T, answers map[string]string) {
	t.Helper()
	for name, answer := range answers {
		for end, respond := range map[string]func(net.Conn, string) bool{
			"the connection stays open": respondWith(answer),
			"the connection is closed":  func(conn net.Conn, id string) bool { return respondWith(answer)(conn, id) && false },
		} {
			t.Run(name+"; "+end, func(t *testing.T) {
				f, _ := startScripted(t, false, respond)
				got := f.call("POST", "/once/a")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusBadGateway, "504 would mean that the caller waited for its deadline")
				assert.Equal(t, got.header.Get(wire.HeaderSignature), "")
			})
		}
	}
}

func checkRetried(t *testing.T, answers map[string]string) {
	t.Helper()
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			f, scripted := startScripted(t, true, respondWith(answer))
			for scripted.requests.Load() == 0 {
				got := f.call("GET", "/safe/a")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
				assert.Assert(t, got.body != "ok", "the scripted endpoint's response")
			}
		})
	}
}
