package slowlink

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestRate checks that two concurrent responses share the link's bandwidth and arrive complete.
func TestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, size = 100 << 10, 250 << 10
		link := New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, size))
		}), rate)
		recorders := [2]*httptest.ResponseRecorder{httptest.NewRecorder(), httptest.NewRecorder()}
		began := time.Now()
		var group sync.WaitGroup
		for _, recorder := range recorders {
			group.Go(func() { link.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil)) })
		}
		group.Wait()
		took := time.Since(began)
		// The link delays all bytes except the first chunk.
		want := time.Duration(2*size-chunk) * time.Second / rate
		assert.Assert(t, took > want-10*time.Millisecond && took < want+10*time.Millisecond, "took %s, want %s", took, want)
		for _, recorder := range recorders {
			assert.Equal(t, recorder.Body.Len(), size)
		}
	})
}

// A lateWriter delays the first write, as a process that is not scheduled does.
type lateWriter struct {
	*httptest.ResponseRecorder
	late time.Duration
}

// Write implements io.Writer.
func (w *lateWriter) Write(content []byte) (int, error) {
	time.Sleep(w.late)
	w.late = 0
	return w.ResponseRecorder.Write(content)
}

// TestLateWrite checks that the link makes up for a late write of up to maxLate, but neither for the
// rest of a longer delay nor for idle time.
func TestLateWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, size = 100 << 10, 18 * chunk
		link := New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, size))
		}), rate)
		want := time.Duration(size-chunk) * time.Second / rate
		for _, late := range []time.Duration{0, maxLate, 4 * maxLate} {
			time.Sleep(time.Minute)
			began := time.Now()
			link.ServeHTTP(&lateWriter{ResponseRecorder: httptest.NewRecorder(), late: late}, httptest.NewRequest(http.MethodGet, "/", nil))
			took := time.Since(began)
			// The link transfers the next chunk during the delay.
			lost := max(0, late-maxLate-time.Duration(chunk)*time.Second/rate)
			assert.Assert(t, took > want+lost-10*time.Millisecond && took < want+lost+10*time.Millisecond, "took %s, want %s", took, want+lost)
		}
	})
}
