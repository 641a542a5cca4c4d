package endpoint

import (
	"errors"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const chunkedHead = "HTTP/1.1 200 OK\r\n" + soundFields + "Transfer-Encoding: chunked\r\n\r\n"

// checkBroken checks that a response with some body isn't taken for a whole one, and that its end doesn't wait for the
// deadline.
func checkBroken(t *testing.T, method string, answers map[string]string) {
	t.Helper()
	for name, answer := range answers {
		for _, split := range []int{len(answer), 1} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					began := time.Now()
					response, err := exchangeWith(t, method, sentAnswer{text: answer, split: split})
					body := []byte(nil)
					if err == nil {
						defer response.Close()
						body, err = response.ReadAll(1 << 20)
					}
					var lost *LostError
					assert.Assert(t, errors.As(err, &lost), "%q, %v", body, err)
					assert.Equal(t, time.Since(began), time.Duration(0), "%v", err)
				})
			})
		}
	}
}

// TestMalformedTrailer guards against a response that counts as whole though its trailer has a line that is no field, as
// the response itself and as one to another request.
func TestMalformedTrailer(t *testing.T) {
	answers := make(map[string]string)
	for _, trailer := range []string{"Two Words: x\r\n\r\n", "A : x\r\n\r\n", "A: b\r\nTwo Words: x\r\n\r\n", "Key\x01: x\r\n\r\n", "Key\r\n\r\n", ": x\r\n\r\n", "A: b\x00\r\n\r\n", " A: b\r\n\r\n", "Two Words", "\x00"} {
		answers[strconv.Quote(trailer)] = chunkedHead + "2\r\nok\r\n0\r\n" + trailer
		answers[strconv.Quote(trailer)+" of another response"] = "HTTP/1.1 200 OK\r\nRyeford-Request-Id: q\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + trailer + soundAnswer
	}
	checkBroken(t, "POST", answers)
}

// TestMalformedChunk guards against a wait for the end of what is no chunk.
func TestMalformedChunk(t *testing.T) {
	answers := make(map[string]string)
	for _, chunk := range []string{"x\r\n", "-2\r\nok\r\n", "\r\nok", "2 2\r\nok\r\n", "2\nok\n", "2\r\nokk\r\n", "2\r\nok\x00", "2;\x00\r\nok\r\n", "2;a\rb\r\nok\r\n", "zz", "\x00", "11111111111111111", "2\r\nok2", " 2\r\nok\r\n", "2\r\nok\r\n\r\n"} {
		answers[strconv.Quote(chunk)] = chunkedHead + chunk
	}
	checkBroken(t, "POST", answers)
}

// TestInterimWithBody guards against the body of an interim response, which has none, that is read as the next head.
func TestInterimWithBody(t *testing.T) {
	answers := make(map[string]string)
	for _, field := range []string{"Content-Length: 99", "content-length: 1", "Transfer-Encoding: chunked"} {
		answers[field] = "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n\r\n" + soundAnswer
		answers[field+" in the second one"] = "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n" + answers[field]
	}
	checkBroken(t, "POST", answers)
}

// TestOtherResponseBeforeHead guards against the body of a response to another request that is read as the next head: whether
// one follows depends on the method of its request, not on this one's.
func TestOtherResponseBeforeHead(t *testing.T) {
	const other = "HTTP/1.1 200 OK\r\nRyeford-Request-Id: q\r\n"
	checkBroken(t, "HEAD", map[string]string{
		"a length": other + "Content-Length: 99\r\n\r\n" + soundAnswer,
		"chunks":   other + "Transfer-Encoding: chunked\r\n\r\n" + soundAnswer,
		"neither":  other + "\r\n" + soundAnswer,
	})
}

// TestChunksOfHTTP10 guards against the sizes of chunks that are read as a part of the body: HTTP/1.0 has no chunks, and a
// response of it that states them has no known end.
func TestChunksOfHTTP10(t *testing.T) {
	const head, chunks = "HTTP/1.0 200 OK\r\n" + soundFields, "2\r\nok\r\n0\r\n\r\n"
	checkBroken(t, "POST", map[string]string{
		"chunks":               head + "Transfer-Encoding: chunked\r\n\r\n" + chunks,
		"chunks and a length":  head + "transfer-encoding:chunked\r\nContent-Length: 2\r\n\r\n" + chunks,
		"an unknown encoding":  head + "TRANSFER-ENCODING: x\r\nContent-Length: 2\r\n\r\nok",
		"the name at its end":  head + "Transfer-Encoding:",
		"an interim one first": "HTTP/1.0 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + soundAnswer,
	})
}
