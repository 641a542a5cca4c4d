package soak

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// A way is one way in which a server answers.
type way struct {
	name     string
	weight   int
	unframed bool // the answer ends with its connection
	// answer writes the answer. Its error ends the connection; errClose after an end in order.
	answer func(a *answering) error
}

// Sizes of what has no end, in bytes.
const endless = 256 << 20

// ways are all of them. The first ones are usual.
var ways = []way{
	{"chunks", 20, false, func(a *answering) error { return errors.Join(a.begin(), a.writeChunked()) }},
	{"a length", 10, false, writeWithLength},
	{"chunks, then close", 3, false, func(a *answering) error { return errors.Join(a.begin(), a.writeChunked(closeField), errClose) }},
	{"no length", 10, true, func(a *answering) error { return errors.Join(a.begin(), a.writeUnframed(), a.drain()) }},
	{"early", 4, false, func(a *answering) error { a.markRan(); return errors.Join(a.writeChunked(), a.readRest()) }},
	{"early, no length", 4, true, func(a *answering) error { a.markRan(); return errors.Join(a.writeUnframed(), a.drain()) }},
	{"early, read late", 2, false, func(a *answering) error {
		a.markRan()
		err := a.writeChunked()
		time.Sleep(300 * time.Millisecond)
		return errors.Join(err, a.readRest())
	}},
	{"early, no length, never read", 3, true, func(a *answering) error {
		a.markRan()
		err := a.writeUnframed()
		time.Sleep(100 * time.Millisecond) // the end arrives before the reset
		return errors.Join(err, errClose)
	}},
	{"read late", 2, false, func(a *answering) error {
		time.Sleep(200 * time.Millisecond)
		return errors.Join(a.begin(), a.writeChunked())
	}},
	{"an interim answer", 3, false, func(a *answering) error {
		return errors.Join(a.begin(), a.write("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"), a.writeChunked())
	}},
	{"a trailer and extensions", 3, false, writeWithTrailer},
	{"the answer to another request first", 2, false, func(a *answering) error {
		return errors.Join(a.begin(), a.write(a.foreign()), a.writeChunked())
	}},
	{"doubled", 2, false, func(a *answering) error { return errors.Join(a.begin(), a.writeChunked(), a.write(a.foreign())) }},
	{"bytes after it", 2, false, func(a *answering) error { return errors.Join(a.begin(), a.writeChunked(), a.write("zzzz\r\n\r\n")) }},

	{"cut, chunks", 2, false, func(a *answering) error {
		return errors.Join(a.begin(), a.write(a.head(a.id, chunkedField)), a.writeParts(5, asChunk), io.ErrClosedPipe)
	}},
	{"cut inside an event, no length", 2, true, cutInsideEvent},
	{"reset, chunks", 2, false, func(a *answering) error {
		return errors.Join(a.begin(), a.write(a.head(a.id, chunkedField)), a.writeParts(5, asChunk), a.reset())
	}},
	{"reset, no length", 3, true, func(a *answering) error {
		return errors.Join(a.begin(), a.write(a.head(a.id)), a.writeParts(5, asIs), a.reset())
	}},
	{"reset before it is read, no length", 6, true, func(a *answering) error {
		a.markRan()
		return errors.Join(a.write(a.head(a.id)), a.writeParts(5, asIs), a.reset())
	}},
	{"silent amid it", 1, false, func(a *answering) error {
		err := errors.Join(a.begin(), a.write(a.head(a.id, chunkedField)), a.writeParts(3, asChunk))
		time.Sleep(answerDeadline)
		return errors.Join(err, io.ErrClosedPipe)
	}},
	{"no answer", 1, false, func(a *answering) error { return errors.Join(a.begin(), io.ErrClosedPipe) }},
	{"reset in place of an answer", 1, false, func(a *answering) error { return errors.Join(a.begin(), a.reset()) }},
	{"the answer to another request alone", 1, false, func(a *answering) error { return errors.Join(a.begin(), a.write(a.foreign()), io.ErrClosedPipe) }},
	{"no stamp", 1, false, func(a *answering) error {
		text := strings.Replace(a.head(a.id, chunkedField), "Ryeford-Server-Stamp", "Another", 1)
		return errors.Join(a.begin(), a.write(text), a.writeParts(-1, asChunk), a.write("0\r\n\r\n"), io.ErrClosedPipe)
	}},
	{"encoded", 1, false, func(a *answering) error {
		return errors.Join(a.begin(), a.write(a.head(a.id, chunkedField, "Content-Encoding: gzip\r\n")), a.writeParts(-1, asChunk), io.ErrClosedPipe)
	}},
	{"a failure", 1, false, func(a *answering) error {
		return errors.Join(a.begin(), a.write(fmt.Sprintf("HTTP/1.1 500 Failed\r\nRyeford-Request-Id: %s\r\nRyeford-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nno", a.id)))
	}},
	{"not run", 3, false, func(a *answering) error { return errors.Join(a.readRest(), a.writeNotRun(0)) }},
	{"not run, early, a long body", 1, false, func(a *answering) error { return errors.Join(a.writeNotRun(1<<20), a.readRest()) }},
	{"no line feed", 1, false, func(a *answering) error { return errors.Join(a.begin(), a.flood("", "z")) }},
	{"fields without end", 1, false, func(a *answering) error { return errors.Join(a.begin(), a.flood("HTTP/1.1 200 OK\r\n", "A: b\r\n")) }},
	{"interim answers without end", 1, false, func(a *answering) error {
		return errors.Join(a.begin(), a.flood("", "HTTP/1.1 103 Early Hints\r\n\r\n"))
	}},
	{"an event without end", 1, true, func(a *answering) error { return errors.Join(a.begin(), a.flood(a.head(a.id)+"data: ", "z")) }},
}

func totalWeight(ways []way) int {
	total := 0
	for i := range ways {
		total += ways[i].weight
	}
	return total
}

// writeWithLength writes the whole answer with a length.
func writeWithLength(a *answering) error {
	length := len(strings.Join(a.parts(), ""))
	err := errors.Join(a.begin(), a.write(a.head(a.id, fmt.Sprintf("Content-Length: %d\r\n", length))), a.writeParts(-1, asIs))
	return a.recordWritten(err)
}

// writeWithTrailer writes the whole answer in chunks with extensions, and a trailer.
func writeWithTrailer(a *answering) error {
	chunk := func(part string) string { return fmt.Sprintf("%x;a=b;c\r\n%s\r\n", len(part), part) }
	err := errors.Join(a.begin(), a.write(a.head(a.id, chunkedField)), a.writeParts(-1, chunk), a.write("0;a=b\r\nA: b\r\nC: d\r\n\r\n"))
	return a.recordWritten(err)
}

// cutInsideEvent ends a stream without a length in the middle of an event. Any other body without a length would be
// whole if its connection ended in order, so that it is reset.
func cutInsideEvent(a *answering) error {
	err := errors.Join(a.begin(), a.write(a.head(a.id)), a.writeParts(5, asIs), a.write("id: 6\nda"))
	if !a.stream {
		return errors.Join(err, a.reset())
	}
	return errors.Join(err, io.ErrClosedPipe)
}

// writeNotRun writes that the request has not run, with a body.
func (a *answering) writeNotRun(size int) error {
	return a.write(fmt.Sprintf("HTTP/1.1 503 Full\r\nRyeford-Request-Id: %s\r\nRyeford-Not-Run: 1\r\nContent-Length: %d\r\n\r\n%s", a.id, size, strings.Repeat("z", size)))
}

// foreign returns the answer to a request that the caller has not sent.
func (a *answering) foreign() string {
	const body = "id: 1\ndata: foreign\n\n"
	return a.head("another-"+a.id, fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body
}

// flood writes a text again and again until the connection is closed.
func (a *answering) flood(first, repeated string) error {
	err := a.write(first)
	chunk := strings.Repeat(repeated, 1+(32<<10)/len(repeated))
	for n := 0; err == nil && n < endless; n += len(chunk) {
		err = a.write(chunk)
	}
	return errors.Join(err, io.ErrClosedPipe)
}

// drain reads until the other side closes the connection, after an answer that has ended it.
func (a *answering) drain() error {
	_, _ = io.Copy(io.Discard, a.conn)
	return errClose
}
