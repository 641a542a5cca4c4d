package soak

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// keptMalformedSeeds are the seeds that every run of TestSoakMalformed plays.
var keptMalformedSeeds = []keptSeed{{seed: 1}}

// malformedWays are ways in which a server sends what is no answer, beside the other ways. After some of them it leaves the
// connection open for longer than its callers wait.
var malformedWays = append([]way{
	malformed("status 000", changeHead("HTTP/1.1 200 OK", "HTTP/1.1 000 ")),
	malformed("status 600", changeHead("HTTP/1.1 200 OK", "HTTP/1.1 600 OK")),
	malformed("a blank in a name", changeHead("Ryeford-Weight-Versions", "Two Words: x\r\nRyeford-Weight-Versions")),
	malformed("a blank after the framing's name", changeHead("Transfer-Encoding:", "Transfer-Encoding :")),
	malformed("a control byte in a name", changeHead("Ryeford-Weight-Versions", "Key\x01: x\r\nRyeford-Weight-Versions")),
	malformed("status 000 before an answer", func(a *answering) string {
		return "HTTP/1.1 000 \r\nRyeford-Request-Id: " + a.id + "\r\n\r\n" + a.wholeText("0\r\n\r\n")
	}),
	malformed("a blank in a name of an interim answer", func(a *answering) string {
		return "HTTP/1.1 103 Early Hints\r\nTwo Words: x\r\n\r\n" + a.wholeText("0\r\n\r\n")
	}),
	malformed("an interim answer with a body", func(a *answering) string {
		return "HTTP/1.1 103 Early Hints\r\nContent-Length: 9\r\n\r\n" + a.wholeText("0\r\n\r\n")
	}),
	malformed("a blank in a name of the answer to another request", func(a *answering) string {
		return strings.Replace(a.foreign(), "Ryeford-Weight-Versions", "Two Words", 1) + a.wholeText("0\r\n\r\n")
	}),
	malformed("a blank in a name of the trailer", func(a *answering) string { return a.wholeText("0\r\nTwo Words: x\r\n\r\n") }),
	malformed("no size of the last chunk", func(a *answering) string { return a.wholeText("zz") }),
	{"silent after status 000", 1, false, func(a *answering) error {
		err := errors.Join(a.begin(), a.write("HTTP/1.1 000 "))
		time.Sleep(answerDeadline)
		return errors.Join(err, errClose)
	}},
	{"not run, without end", 2, false, func(a *answering) error {
		head := "HTTP/1.1 503 Full\r\nRyeford-Request-Id: " + a.id + "\r\nRyeford-Not-Run: 1\r\n" + chunkedField + "\r\n"
		return errors.Join(a.readRest(), a.drip(head))
	}},
	{"a failure without end", 1, false, func(a *answering) error {
		head := "HTTP/1.1 500 Failed\r\nRyeford-Request-Id: " + a.id + "\r\nRyeford-Server-Stamp: s\r\n" + chunkedField + "\r\n"
		return errors.Join(a.begin(), a.drip(head))
	}},
}, ways...)

// malformed returns a way that runs the request, sends a text and ends the connection.
func malformed(name string, text func(a *answering) string) way {
	return way{name, 2, false, func(a *answering) error { return errors.Join(a.begin(), a.write(text(a)), errClose) }}
}

// changeHead returns the whole answer with a change in its head.
func changeHead(from, to string) func(a *answering) string {
	return func(a *answering) string { return strings.Replace(a.wholeText("0\r\n\r\n"), from, to, 1) }
}

// wholeText returns the answer in chunks, up to the end of its body.
func (a *answering) wholeText(end string) string {
	text := a.head(a.id, chunkedField)
	for _, part := range a.parts() {
		text += asChunk(part)
	}
	return text + end
}

// drip writes a head, and a body in chunks until the connection is closed.
func (a *answering) drip(head string) error {
	err := a.write(head)
	for err == nil {
		time.Sleep(pieceGap)
		err = a.write(asChunk("z"))
	}
	return err
}

// TestSoakMalformed guards against the same as TestSoakAnswers, with servers that also send what is no answer.
func TestSoakMalformed(t *testing.T) { runAnswers(t, keptMalformedSeeds, malformedWays, false) }
