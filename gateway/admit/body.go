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
	// defaultMaxBody limits the size of a body, in bytes, if the configuration is unknown or sets
	// no limit.
	defaultMaxBody = 4 << 20
	// callerBytesPerMegabyte is how many bytes may be held for callers for each megabyte of the process's
	// memory: a quarter. Request bodies are held in full, since attempts may be repeated, and responses
	// until their callers have read them.
	callerBytesPerMegabyte = 1 << 18
)

// UnreadBodyTimeout is how long a router waits for the rest of a refused request's body, so that the
// connection can be reused. It covers the data that is already in transit.
const UnreadBodyTimeout = 10 * time.Millisecond

// CallerMemory returns how many bytes a process with this much memory may hold for callers.
func CallerMemory(megabytes int) int64 { return int64(megabytes) * callerBytesPerMegabyte }

// MaxBody returns the maximum size of a body in bytes. configured is the limit of the
// configuration, zero if it sets none or is unknown.
func MaxBody(configured int) int64 {
	if configured > 0 {
		return int64(configured)
	}
	return defaultMaxBody
}

// BodyTimeout returns how long a caller may take to send the rest of its body. left is how
// long the caller still waits for the response.
func BodyTimeout(left time.Duration) time.Duration { return min(maxBodyTimeout, left) }

// BodySize returns how many bytes are reserved for a body before it is read. contentLength
// is -1 if unknown.
func BodySize(contentLength, maxBody int64) int64 {
	if contentLength < 0 || contentLength > maxBody {
		return maxBody
	}
	return contentLength
}

// NoMemory returns the error of a request whose body does not fit into the remaining body memory.
func NoMemory() error { return giveup.NotRun(ryeford.ReasonOverload) }

// BodyFailure returns the error of a request whose body could not be read. err is the error
// of reading through an http.MaxBytesReader.
func BodyFailure(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &ryeford.InputError{Field: "body", Problem: "too large", Status: http.StatusRequestEntityTooLarge}
	}
	return &ryeford.InputError{Field: "body", Problem: "incomplete", Status: http.StatusBadRequest}
}
