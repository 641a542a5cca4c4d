package transfer

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestWatch checks which transfers are aborted, and when. The interval is one second, and
// the first byte may take two more.
func TestWatch(t *testing.T) {
	for _, test := range []struct {
		name  string
		delay time.Duration // before each part
		parts int
		size  int           // bytes of a part
		whole bool          // the response ends after the last part
		stall time.Duration // when it is aborted; zero for never
	}{
		{"no response", 0, 0, 0, false, 3 * time.Second},
		{"an immediate response", time.Millisecond, 1, 10, true, 0},
		{"a late response", 2900 * time.Millisecond, 1, 10, true, 0},
		{"a response that is too late", 3100 * time.Millisecond, 1, 10, false, 3 * time.Second},
		{"a slow large response", 400 * time.Millisecond, 60, 8 << 10, true, 0},
		{"occasional single bytes", 400 * time.Millisecond, 60, 1, true, 1400 * time.Millisecond},
		{"a response that stalls after one part", 500 * time.Millisecond, 1, 100 << 10, false, 2500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancelCause(t.Context())
				start := time.Now()
				var stalled time.Duration
				context.AfterFunc(ctx, func() { stalled = time.Since(start) })
				w := NewWatch(2*time.Second, time.Second, cancel)
				for range test.parts {
					time.Sleep(test.delay)
					w.recordReceived(test.size, nil)
				}
				if test.whole {
					w.Stop()
				}
				time.Sleep(time.Minute)
				synctest.Wait()
				assert.Equal(t, stalled, test.stall)
				var stall *StallError
				assert.Equal(t, errors.As(context.Cause(ctx), &stall), test.stall > 0)
			})
		})
	}
}

// A fullReader fills the buffer of each read before it returns, as the body of a chunked
// response does.
type fullReader struct {
	remaining int // bytes
	rate      int // bytes per second
}

// Read implements io.Reader.
func (r *fullReader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		return 0, io.EOF
	}
	n := min(len(p), r.remaining)
	r.remaining -= n
	time.Sleep(time.Duration(n) * time.Second / time.Duration(r.rate))
	return n, nil
}

// TestLargeBuffer checks that a transfer is not aborted while it takes several intervals to
// fill the buffer of one read: json.Decoder doubles its buffer as it reads.
func TestLargeBuffer(t *testing.T) {
	const size, rate, interval = 4 << 20, 1_250_000, 700 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancelCause(t.Context())
		w := NewWatch(0, interval, cancel)
		defer w.Stop()
		body := w.ResponseReader(&fullReader{remaining: size, rate: rate})
		received := 0
		for buffer := make([]byte, 512); ; buffer = make([]byte, 2*len(buffer)) {
			n, err := io.ReadFull(body, buffer)
			received += n
			if err != nil {
				break
			}
		}
		assert.NilError(t, context.Cause(ctx))
		assert.Equal(t, received, size)
	})
}

// TestInterrupted checks that the error of an interrupted transfer states the number of bytes received.
func TestInterrupted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWatch(0, time.Second, func(error) {})
		defer w.Stop()
		buffer := make([]byte, 5)
		_, err := w.ResponseReader(strings.NewReader("response")).Read(buffer)
		assert.NilError(t, err)
		time.Sleep(300 * time.Millisecond)
		err = w.Interrupted(errors.New("reset"))
		assert.Error(t, err, "broken off after 5 bytes and 300ms: reset")
	})
}

// TestRequest checks which calls with a large request are aborted, and when. The interval is
// one second.
func TestRequest(t *testing.T) {
	const part = 8 << 10
	for _, test := range []struct {
		name     string
		parts    int           // of the request that are sent, one every 400 ms
		all      bool          // the parts are the whole request
		response time.Duration // from the end of the request to the response; zero for never
		stall    time.Duration // when it is aborted; zero for never
	}{
		{"sent slowly, and answered", 59, true, 900 * time.Millisecond, 0},
		{"sent, and not answered", 59, true, 0, 24600 * time.Millisecond},
		{"sent, and answered too late", 59, true, 1100 * time.Millisecond, 24600 * time.Millisecond},
		{"stalls", 59, false, 0, 25 * time.Second},
		{"not sent", 0, false, 0, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancelCause(t.Context())
				start := time.Now()
				var stalled time.Duration
				context.AfterFunc(ctx, func() { stalled = time.Since(start) })
				w := NewWatch(0, time.Second, cancel)
				request := w.RequestReader(strings.NewReader(strings.Repeat(" ", test.parts*part)))
				buffer := make([]byte, part)
				for range test.parts {
					time.Sleep(400 * time.Millisecond)
					_, err := request.Read(buffer)
					assert.NilError(t, err)
				}
				if test.all {
					_, err := request.Read(buffer)
					assert.Assert(t, errors.Is(err, io.EOF))
				}
				if test.response > 0 {
					time.Sleep(test.response)
					w.Stop()
				}
				time.Sleep(time.Minute)
				synctest.Wait()
				assert.Equal(t, stalled, test.stall)
			})
		})
	}
}
