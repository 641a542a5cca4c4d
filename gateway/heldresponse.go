package gateway

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/callermemory"
	"github.com/ryeford/ryeford/gateway/endpoint"
	"github.com/ryeford/ryeford/internal/clock"
)

const (
	// maxMemoryWait is how long a response waits for memory, so that callers that are slow by then can be cut
	// off.
	maxMemoryWait = 2 * time.Second
	// memoryRetryInterval is the interval between two attempts to reserve memory.
	memoryRetryInterval = 20 * time.Millisecond
)

// A callerMemoryError reports that a response doesn't fit into the memory that is held for callers.
type callerMemoryError struct{}

func (*callerMemoryError) Error() string {
	return "no memory left for responses that callers have not read"
}

// readHeld reads a complete body, for which it reserves memory: as announced, or as it is read. The error is a
// *callerMemoryError or a *endpoint.LostError.
func readHeld(ctx context.Context, response *endpoint.Response, held *callermemory.Allocation) ([]byte, error) {
	announced, err := strconv.ParseInt(response.Header.Get("Content-Length"), 10, 64)
	if err == nil && announced <= maxBufferedBody {
		if !reserve(ctx, held, announced) {
			return nil, &callerMemoryError{}
		}
		return response.ReadAll(maxBufferedBody)
	}
	body, err := io.ReadAll(io.LimitReader(&heldReader{Reader: response, ctx: ctx, held: held}, maxBufferedBody+1))
	var noMemory *callerMemoryError
	switch {
	case errors.As(err, &noMemory):
		return nil, noMemory
	case err != nil:
		return nil, &endpoint.LostError{Err: err}
	case len(body) > maxBufferedBody:
		return nil, &endpoint.LostError{Err: &endpoint.TooLargeError{}}
	}
	return body, nil
}

// A heldReader reserves memory for what it reads.
type heldReader struct {
	io.Reader
	ctx  context.Context
	held *callermemory.Allocation
}

// Read implements io.Reader. The error is a *callerMemoryError if the memory is exhausted.
func (r *heldReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 && !reserve(r.ctx, r.held, int64(n)) {
		return 0, &callerMemoryError{}
	}
	return n, err
}

// reserve reserves memory for a response, and waits until it fits or maxMemoryWait has passed: other callers may be
// reading theirs, and slow ones are cut off only after a time.
func reserve(ctx context.Context, held *callermemory.Allocation, bytes int64) bool {
	began := clock.Now()
	for !held.Grow(clock.Now(), bytes) {
		if clock.Since(began) > maxMemoryWait || !clock.Sleep(ctx, memoryRetryInterval) {
			return false
		}
	}
	return true
}

// reasonOfRead returns the reason for which a request fails whose response can't be read.
func reasonOfRead(err error) ryeford.Reason {
	var noMemory *callerMemoryError
	if errors.As(err, &noMemory) {
		return ryeford.ReasonOverload
	}
	return ryeford.ReasonEngineLost
}
