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

// TestWatch checks which transfers are given up, and when. The interval is a second, and
// the first byte may take two more.
func TestWatch(t *testing.T) {
	for _, test := range []struct {
		name  string
		every time.Duration // between two parts
		parts int
		size  int           // bytes of a part
		whole bool          // the last part is the response's end
		stall time.Duration // when it is given up; zero for never
	}{
		{"nothing comes", 0, 0, 0, false, 3 * time.Second},
		{"it comes at once", time.Millisecond, 1, 10, true, 0},
		{"it comes late, and all", 2900 * time.Millisecond, 1, 10, true, 0},
		{"it comes too late", 3100 * time.Millisecond, 1, 10, false, 3 * time.Second},
		{"a large one comes slowly", 400 * time.Millisecond, 60, 8 << 10, true, 0},
		{"a byte comes now and then", 400 * time.Millisecond, 60, 1, true, 1400 * time.Millisecond},
		{"a part comes, and no more", 500 * time.Millisecond, 1, 100 << 10, false, 2500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancelCause(t.Context())
				began := time.Now()
				var stalled time.Duration
				context.AfterFunc(ctx, func() { stalled = time.Since(began) })
				w := NewWatch(2*time.Second, time.Second, cancel)
				for range test.parts {
					time.Sleep(test.every)
					w.noteReceived(test.size, nil)
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

// A fullReader fills the buffer of each read before it returns, as the body of a response
// in chunks does.
type fullReader struct {
	left int
	rate int // bytes a second
}

// Read implements io.Reader.
func (r *fullReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), r.left)
	r.left -= n
	time.Sleep(time.Duration(n) * time.Second / time.Duration(r.rate))
	return n, nil
}

// TestLargeBuffer checks that a transfer goes on that takes several intervals to fill the
// buffer it is read into: json.Decoder doubles its own as it reads. It failed at the rate
// of a link of 10 Mbit/s and with the gateway's interval, from 4 MB on for sure.
func TestLargeBuffer(t *testing.T) {
	const size, rate, interval = 4 << 20, 1_250_000, 700 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancelCause(t.Context())
		w := NewWatch(0, interval, cancel)
		defer w.Stop()
		body := w.Reader(&fullReader{left: size, rate: rate})
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

// TestBroken checks that the error of a broken transfer says how much had come.
func TestBroken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWatch(0, time.Second, func(error) {})
		defer w.Stop()
		buffer := make([]byte, 5)
		_, err := w.Reader(strings.NewReader("response")).Read(buffer)
		assert.NilError(t, err)
		time.Sleep(300 * time.Millisecond)
		err = w.Broken(errors.New("reset"))
		assert.Error(t, err, "broken off after 5 bytes and 300ms: reset")
	})
}

// TestRequest checks which calls with a large request are given up, and when. The interval
// is a second.
func TestRequest(t *testing.T) {
	const part = 8 << 10
	for _, test := range []struct {
		name     string
		parts    int           // of the request that are sent, one each 400 ms
		all      bool          // they are the whole request
		response time.Duration // until the response comes after that; zero for never
		stall    time.Duration // when it is given up; zero for never
	}{
		{"it is sent slowly, and answered", 59, true, 900 * time.Millisecond, 0},
		{"it is sent, and not answered", 59, true, 0, 24600 * time.Millisecond},
		{"it is sent, and answered too late", 59, true, 1100 * time.Millisecond, 24600 * time.Millisecond},
		{"it stalls", 59, false, 0, 25 * time.Second},
		{"nothing of it is sent", 0, false, 0, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancelCause(t.Context())
				began := time.Now()
				var stalled time.Duration
				context.AfterFunc(ctx, func() { stalled = time.Since(began) })
				w := NewWatch(0, time.Second, cancel)
				request := w.Request(strings.NewReader(strings.Repeat(" ", test.parts*part)))
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
