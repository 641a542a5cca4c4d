package httpscan

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// soundBodies are bodies in chunks that HTTP/1.1 allows.
var soundBodies = []string{
	"0\r\n\r\n",
	"2\r\nok\r\n0\r\n\r\n",
	"1\r\no\r\n1\r\nk\r\n000\r\n\r\n",
	"a\r\n0123456789\r\nA\r\n0123456789\r\n0\r\n\r\n",
	"0000000000000002\r\n\r\n\r\n0\r\n\r\n",
	"2;a\r\nok\r\n2;a=b;c=\"d e\"\r\nok\r\n0;end\r\n\r\n",
	"2 \r\nok\r\n2 ; a = b\r\nok\r\n0\r\n\r\n",
	"2\r\nok\r\n0\r\nA: b\r\nC:\td\r\n e\r\n\r\n",
	fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", 70000, strings.Repeat("\x00", 70000)),
}

// scanChunksIn scans a text in pieces of a size.
func scanChunksIn(size int, text []byte) (Chunks, int, error) {
	var c Chunks
	for at := 0; at < len(text); {
		n, err := c.Scan(text[at:min(len(text), at+size)])
		at += n
		if err != nil {
			return c, at, err
		}
	}
	return c, len(text), nil
}

// TestSoundChunks guards against the rejection of a sound body, however it is split on its way, and with whatever follows it.
func TestSoundChunks(t *testing.T) {
	for _, body := range soundBodies {
		for _, size := range []int{1, 2, 3, 4096, len(body) + 9} {
			c, _, err := scanChunksIn(size, []byte(body+"\x00\r\rnext"))
			assert.NilError(t, err, "%.40q", body)
			assert.Equal(t, c.trailer.step, stepEnd, "%.40q", body)
		}
	}
}

// TestMalformedChunks checks that each byte that can't stand in a body in chunks is found when it comes.
func TestMalformedChunks(t *testing.T) {
	for text, part := range map[string]Part{
		"x": PartChunk, "-": PartChunk, " ": PartChunk, ";": PartChunk, "\r": PartChunk, "\n": PartChunk, "2\n": PartChunk, "2\rx": PartChunk, "2g": PartChunk, "00000000000000002": PartChunk,
		"2 \x00": PartChunk, "2;a\n": PartChunk, "2;a\rb": PartChunk, "2;\x7f": PartChunk, "2\r\nok2": PartChunk, "2\r\nok\n": PartChunk, "2\r\nok\rx": PartChunk, "2\r\nok\r\n\r": PartChunk,
		"0\r\n ": PartName, "0\r\n:": PartName, "0\r\nTwo ": PartName, "0\r\nA: b\r\n\x01": PartName, "0\r\nA: b\x00": PartValue, "0\r\nA\r": PartName,
	} {
		for _, size := range []int{1, len(text)} {
			_, n, err := scanChunksIn(size, []byte(text))
			var malformed *MalformedError
			assert.Assert(t, errors.As(err, &malformed), "%q", text)
			assert.Equal(t, malformed.Part, part, "%q", text)
			assert.Equal(t, n, len(text)-1, "%q", text)
		}
		_, _, err := scanChunksIn(len(text), []byte(text[:len(text)-1]))
		assert.NilError(t, err, "%q is found before its last byte", text)
	}
}

// FuzzChunks checks that the result doesn't depend on how a body is split, and that a body without blanks, which net/http
// doesn't accept everywhere, has its last chunk where net/http finds it.
func FuzzChunks(f *testing.F) {
	for _, body := range soundBodies[:len(soundBodies)-1] {
		f.Add([]byte(body), uint8(3))
		f.Add([]byte(body[:len(body)/2]+"\x00"+body[len(body)/2:]), uint8(1))
	}
	f.Fuzz(func(t *testing.T, text []byte, size uint8) {
		whole, n, wholeErr := scanChunksIn(len(text)+1, text)
		split, m, splitErr := scanChunksIn(max(1, int(size)), text)
		assert.DeepEqual(t, wholeErr, splitErr)
		assert.Equal(t, n, m)
		if wholeErr != nil {
			return
		}
		assert.Equal(t, whole, split)
		_, err := io.Copy(io.Discard, httputil.NewChunkedReader(bytes.NewReader(text)))
		ended := whole.step == chunkTrailer
		unlike := bytes.ContainsAny(text, " \t") || strings.Contains(fmt.Sprint(err), "too much overhead")
		if ended != (err == nil) && !unlike {
			t.Fatalf("ended %t, net/http: %v", ended, err)
		}
	})
}
