package admit

import (
	"errors"
	"net/http"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/giveup"
)

const (
	// maxBodyTimeout is how long a caller may take to send its body.
	maxBodyTimeout = 15 * time.Second
	// defaultMaxBody bounds a body, in bytes, until a configuration that says more is
	// known.
	defaultMaxBody = 4 << 20
	// bodyBytesPerMegabyte is how many bytes of callers' bodies are kept at once for
	// each megabyte of the process's memory: a quarter of it. Bodies
	// are kept whole, since an attempt may have to be repeated.
	bodyBytesPerMegabyte = 1 << 18
)

// UnreadBodyTimeout is how long the rest of a refused request's body is awaited, so that its
// connection can be used again: what is on the way already comes in a few milliseconds.
const UnreadBodyTimeout = 10 * time.Millisecond

// BodyMemory returns how many bytes of callers' bodies are kept at once by a process
// with so many megabytes of memory.
func BodyMemory(megabytes int) int64 { return int64(megabytes) * bodyBytesPerMegabyte }

// MaxBody returns the greatest size of a body in bytes, given the configuration's; zero
// if it says none or is not known.
func MaxBody(configured int) int64 {
	if configured > 0 {
		return int64(configured)
	}
	return defaultMaxBody
}

// BodyTimeout returns how long a caller may take to send the rest of its body, given for
// how long it waits for the response: what comes later helps nobody.
func BodyTimeout(left time.Duration) time.Duration { return min(maxBodyTimeout, left) }

// BodySize returns how many bytes are reserved for a body before it is read, given
// its Content-Length, or -1 if that is not known.
func BodySize(contentLength, maxBody int64) int64 {
	if contentLength < 0 || contentLength > maxBody {
		return maxBody
	}
	return contentLength
}

// NoMemory returns the failure of a request for whose body there is no memory left.
func NoMemory() error { return giveup.NotRun(ryeford.ReasonOverload) }

// BodyFailure returns the failure of a request whose body could not be read, given the
// error of reading it through an http.MaxBytesReader.
func BodyFailure(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &ryeford.InputError{Field: "body", Problem: "too large", Status: http.StatusRequestEntityTooLarge}
	}
	return &ryeford.InputError{Field: "body", Problem: "incomplete", Status: http.StatusBadRequest}
}
