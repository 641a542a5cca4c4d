package endpoint

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/platform"
)

const (
	soundFields = "Ryeford-Request-Id: r\r\nRyeford-Server-Stamp: s\r\n"
	soundAnswer = "HTTP/1.1 200 OK\r\n" + soundFields + "Content-Length: 2\r\n\r\nok"
	strayAnswer = "HTTP/1.1 200 OK\r\nRyeford-Request-Id: q\r\nContent-Length: 2\r\n\r\nno"
)

// A sentAnswer is what an endpoint sends after a request.
type sentAnswer struct {
	text   string
	split  int  // number of bytes of each write
	closes bool // the endpoint then closes the connection; otherwise it leaves it open and silent
}

// exchangeWith sends a request to an endpoint. The deadline is ten seconds of the test's clock away.
func exchangeWith(t *testing.T, method string, answer sentAnswer) (*Response, error) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
	go func() {
		if _, err := far.Read(make([]byte, 4096)); err != nil {
			return
		}
		for rest := answer.text; rest != ""; {
			n, err := io.WriteString(far, rest[:min(answer.split, len(rest))])
			if err != nil {
				return
			}
			rest = rest[n:]
		}
		if answer.closes {
			_ = far.Close()
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	c := newConnection(near, "e")
	context.AfterFunc(ctx, func() { _ = c.SetDeadline(ExpiredDeadline) })
	response, err := New(platform.Protocol{}).exchange(ctx, c, &Request{ID: "r", Method: method, Target: "/", Host: "h"})
	if err == nil {
		response.stop = func() bool { return true }
	}
	return response, err
}

// checkMalformed checks that none of some texts is taken for the head of a response, and that the end of the exchange
// doesn't wait for the deadline.
func checkMalformed(t *testing.T, answers map[string]string) {
	t.Helper()
	for name, answer := range answers {
		for _, split := range []int{len(answer), 1} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					began := time.Now()
					response, err := exchangeWith(t, "POST", sentAnswer{text: answer, split: split})
					var lost *LostError
					assert.Assert(t, errors.As(err, &lost), "%+v, %v", response, err)
					assert.Assert(t, !errors.As(err, new(*UnsentError)))
					assert.Equal(t, time.Since(began), time.Duration(0), "%v", err)
				})
			})
		}
	}
}

// TestMalformedStatus guards against a response whose status is none: it is no interim response, and what follows its
// head is not the head of another one.
func TestMalformedStatus(t *testing.T) {
	answers := make(map[string]string)
	for _, status := range []string{"000", "001", "099", "600", "999", "+20", "-00", "20", "2000", "20x", "0200", "2 0", "", "200\x00"} {
		head := "HTTP/1.1 " + status + " OK\r\n" + soundFields
		answers[status+" alone"] = head + "\r\n"
		answers[status+" with a body"] = head + "Content-Length: 2\r\n\r\nok"
		answers[status+" before a sound response"] = head + "\r\n" + soundAnswer
		answers[status+" with a body that is a sound response"] = head + "Content-Length: 99\r\n\r\n" + soundAnswer
		answers[status+" after an interim response"] = "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "\r\n"
		answers[status+" after a response to another request"] = strayAnswer + head + "\r\n"
		answers[status+" without the end of its line"] = "HTTP/1.1 " + status + "-"
	}
	checkMalformed(t, answers)
}

// TestMalformedField guards against a response with a line that is no field: net/http reads a name with a blank as one
// that it doesn't know, so that a length or chunks are not seen as such.
func TestMalformedField(t *testing.T) {
	answers := make(map[string]string)
	for _, line := range []string{
		"Content-Length : 2", "Content-Length\t: 2", " Content-Length: 2", "Transfer-Encoding : chunked", "Two Words: x", "Server Stamp", "Key\x01: x", "Key\x00: x",
		"Key\x7f: x", "\x80: x", ": x", "(Key): x", "Key", "\x01\x02\x03", "Key: a\x00b", "Key: a\x1b", "Key: a\rb", "Ryeford-Not-Run : 1", "HTTP/1.1 200 OK",
	} {
		first, last := "HTTP/1.1 200 OK\r\n"+line+"\r\n"+soundFields, "HTTP/1.1 200 OK\r\n"+soundFields+line+"\r\n"
		name := strconv.Quote(line)
		answers[name+" as the first line"] = first + "\r\nok"
		answers[name+" before a sound response"] = first + "\r\n" + soundAnswer
		if line[0] != ' ' { // which would continue the field before it
			answers[name+" as the last line"] = last + "\r\nok"
			answers[name+" with a length"] = last + "Content-Length: 2\r\n\r\nok"
		}
		answers[name+" in an interim response"] = "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + soundAnswer
		answers[name+" in a response to another request"] = "HTTP/1.1 200 OK\r\n" + line + "\r\nRyeford-Request-Id: q\r\nContent-Length: 2\r\n\r\nno" + soundAnswer
		answers[name+" without the end of its line"] = "HTTP/1.1 200 OK\r\n" + line + "\r-"
	}
	checkMalformed(t, answers)
}

// TestSoundResponses guards against the rejection of a sound response, whatever its framing is, after interim responses
// and after a response to another request.
func TestSoundResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + soundFields
	const early = "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	for _, response := range []struct {
		method, text, body string
		closes             bool
	}{
		{method: "POST", text: soundAnswer, body: "ok"},
		{method: "POST", text: head + "Transfer-Encoding: chunked\r\n\r\n1;a=b\r\no\r\n1\r\nk\r\n0\r\nA: b\r\n\r\n", body: "ok"},
		{method: "POST", text: head + "\r\nok", body: "ok", closes: true},
		{method: "POST", text: "HTTP/1.0 200 OK\r\n" + soundFields + "\r\nok", body: "ok", closes: true},
		{method: "POST", text: "HTTP/1.1 200\n" + soundFields + "Content-Length:2\nFolded: a\n b\n\nok", body: "ok"},
		{method: "POST", text: "HTTP/1.1 204 No Content\r\n" + soundFields + "\r\n"},
		{method: "GET", text: "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n" + soundFields + "\r\n"},
		{method: "HEAD", text: head + "Content-Length: 2\r\n\r\n"},
	} {
		for _, before := range []string{"", early, strayAnswer, early + strayAnswer + early} {
			if response.method == "HEAD" {
				before = strings.ReplaceAll(before, strayAnswer, "HTTP/1.1 404 Not Found\r\nRyeford-Request-Id: q\r\nContent-Length: 0\r\n\r\n")
			}
			text := before + response.text
			for _, split := range []int{1, len(text)} {
				synctest.Test(t, func(t *testing.T) {
					got, err := exchangeWith(t, response.method, sentAnswer{text: text, split: split, closes: response.closes})
					assert.NilError(t, err, "%q", text)
					body, err := got.ReadAll(100)
					assert.NilError(t, err, "%q", text)
					assert.Equal(t, string(body), response.body, "%q", text)
					got.Close()
				})
			}
		}
	}
}
