package gateway_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

// These tests guard against bodies that count as whole though their bytes are none in HTTP/1.1, and against callers that wait
// for the end of such bytes until their deadline.

const chunkedAnswer = "HTTP/1.1 200 OK\r\n" + idFields + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"

// malformedBodies are responses whose endpoint leaves its connection open after them.
var malformedBodies = map[string]string{
	"a blank in a name of the trailer":           chunkedAnswer + "0\r\nTwo Words: x\r\n\r\n",
	"a control byte in a name of the trailer":    chunkedAnswer + "0\r\nKey\x01: x\r\n\r\n",
	"no size of a chunk":                         chunkedAnswer + "zz",
	"more than the chunk":                        chunkedAnswer + "2\r\nok2",
	"a trailer of a response to another request": "HTTP/1.1 200 OK\r\nRyeford-Request-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nTwo Words: x\r\n\r\n" + plainAnswer,
}

// TestMalformedBodyIsNotPassedOn checks that a caller whose request must not be repeated is told that it may have run.
func TestMalformedBodyIsNotPassedOn(t *testing.T) { checkNotPassedOn(t, malformedBodies) }

// TestMalformedBodyIsRetried checks that a request that may be repeated is served by another endpoint.
func TestMalformedBodyIsRetried(t *testing.T) { checkRetried(t, malformedBodies) }

// TestMalformedStream checks that a stream goes on at another endpoint if bytes come that are none of it, with all events
// before them.
func TestMalformedStream(t *testing.T) {
	const begun = "HTTP/1.1 200 OK\r\n" + idFields + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n15\r\nid: 1\ndata: event 1\n\n\r\n"
	for name, answer := range map[string]string{
		"no size of a chunk":               begun + "zz",
		"a control byte after a chunk":     begun + "\x00",
		"a blank in a name of the trailer": begun + "0\r\nTwo Words: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, baseConfiguration(), nil)
			scripted := f.addScripted("model", "scripted", respondWith(answer))
			f.addEndpoint("model", "sound", 5)
			f.awaitReady(true)
			f.awaitEndpoints(2)
			for scripted.requests.Load() == 0 {
				got := f.call("POST", "/resume/a")
				assert.NilError(t, got.err)
				assert.Equal(t, got.body, events(5))
			}
		})
	}
}
