package httpscan

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// soundHeads are heads that HTTP/1.1 allows, or asks recipients to tolerate.
var soundHeads = []string{
	"HTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 2\r\n\r\n",
	"HTTP/1.1 200 OK\nA: b\nC: d\r\n\n",
	"HTTP/1.1 200\r\n\r\n",
	"HTTP/1.1 200 \r\n\r\n",
	"HTTP/1.1 200\n\n",
	"HTTP/1.1  200 OK\r\n\r\n",
	"HTTP/1.0 200 OK\r\n\r\n",
	"HTTP/1.0 200 OK\r\nTransfer-Encodings: a\r\nTransfer: b\r\nX-Transfer-Encoding: c\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.2 200 OK\r\n\r\n",
	"HTTP/1.1 599 Something\twith \x80\xff in it\r\n\r\n",
	"HTTP/1.1 404 000\r\n\r\n",
	"HTTP/1.1 204 No Content\r\nDate:\r\n\r\n",
	"HTTP/1.1 304 Not Modified\r\nA:b\r\nA: \t c d \t\r\n\r\n",
	"HTTP/1.1 200 OK\r\nLong: " + strings.Repeat("x", 9000) + "\r\n\r\n",
	"HTTP/1.1 200 OK\r\nFolded: a\r\n b\r\n\tc\r\nD: e\r\n\r\n",
	"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: \x80\xff\"(),/:;<=>?@[\\]{}\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.1 100 Continue\n\nHTTP/1.1 500\n\n",
}

// scanIn scans a text in pieces of a size.
func scanIn(size int, text string) (Head, error) {
	var h Head
	for rest := []byte(text); len(rest) > 0; {
		n := min(size, len(rest))
		if _, err := h.Scan(rest[:n]); err != nil {
			return h, err
		}
		rest = rest[n:]
	}
	return h, nil
}

// TestSoundHeads guards against the rejection of a head that can be served, however it is split on its way, and with
// whatever follows it.
func TestSoundHeads(t *testing.T) {
	for _, head := range soundHeads {
		for _, size := range []int{1, 2, 3, 7, len(head) + 20} {
			h, err := scanIn(size, head+"\x00\r\rbody\x01")
			assert.NilError(t, err, "%q", head)
			assert.Equal(t, h.step, stepEnd, "%q", head)
		}
	}
}

// TestMalformedHeads checks that each byte that can't stand in a head is found when it comes.
func TestMalformedHeads(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for text, part := range map[string]Part{
		"h": PartVersion, "\r": PartVersion, "\n": PartVersion, "HTTP/2": PartVersion, "HTTP/1.x": PartVersion, "HTTP/1.10": PartVersion, "HTTP/1.1\r": PartVersion,
		"HTTP/1.1 0": PartStatus, "HTTP/1.1 6": PartStatus, "HTTP/1.1 9": PartStatus, "HTTP/1.1 +": PartStatus, "HTTP/1.1 -": PartStatus, "HTTP/1.1 \t": PartStatus,
		"HTTP/1.1 \r": PartStatus, "HTTP/1.1 2\r": PartStatus, "HTTP/1.1 20\n": PartStatus, "HTTP/1.1 20 ": PartStatus, "HTTP/1.1 2000": PartStatus,
		"HTTP/1.1 101": PartStatus, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 0": PartStatus, "HTTP/1.1 200\t": PartStatus,
		"HTTP/1.1 200 \x00": PartReason, "HTTP/1.1 200 a\x7f": PartReason, "HTTP/1.1 200 a\ra": PartReason, "HTTP/1.1 200 a\r\r": PartReason,
		ok + " ": PartName, ok + "\t": PartName, ok + ":": PartName, ok + "\x00": PartName, ok + "\r\r": PartName, ok + "A ": PartName, ok + "A\t": PartName, ok + "A\r": PartName,
		ok + "A\n": PartName, ok + "A\x7f": PartName, ok + "A\x80": PartName, ok + "A(": PartName, ok + "A@": PartName, ok + "A[": PartName, ok + "A{": PartName, ok + "A: b\r\n\x01": PartName,
		ok + "A: b\x00": PartValue, ok + "A: \x7f": PartValue, ok + "A: b\ra": PartValue, ok + "A: b\r\n c\x1b": PartValue,
		"HTTP/1.1 100 Continue\r\nA ":           PartName,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding:": PartName, "HTTP/1.0 200 OK\r\nA: b\r\ntRANSFER-eNCODING:": PartName,
	} {
		for _, size := range []int{1, len(text)} {
			_, err := scanIn(size, text)
			var malformed *MalformedError
			assert.Assert(t, errors.As(err, &malformed), "%q", text)
			assert.Equal(t, malformed.Part, part, "%q", text)
			assert.Equal(t, malformed.Byte, text[len(text)-1])
		}
		_, err := scanIn(len(text), text[:len(text)-1])
		assert.NilError(t, err, "%q is found before its last byte", text)
	}
}

// FuzzHead checks that the result doesn't depend on how a head is split, and that net/http reads an accepted head as
// one with the same status.
func FuzzHead(f *testing.F) {
	for _, head := range soundHeads {
		f.Add([]byte(head), uint8(3))
		f.Add([]byte(head[:len(head)/2]+"\x00"+head[len(head)/2:]), uint8(1))
	}
	f.Fuzz(func(t *testing.T, text []byte, size uint8) {
		var whole Head
		_, wholeErr := whole.Scan(text)
		split, splitErr := scanIn(max(1, int(size)), string(text))
		assert.DeepEqual(t, wholeErr, splitErr)
		if wholeErr != nil {
			return
		}
		assert.Equal(t, whole, split)
		reader := bufio.NewReader(bytes.NewReader(text))
		for whole.step == stepEnd {
			head, err := http.ReadResponse(reader, nil)
			if err != nil {
				return // such as a length that is none
			}
			assert.Assert(t, head.StatusCode >= 100 && head.StatusCode < 600 && head.StatusCode != 101, "%d", head.StatusCode)
			if head.StatusCode >= 200 {
				return
			}
		}
	})
}
