package transfer

import (
	"context"
	"errors"
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
					w.note(test.size)
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
