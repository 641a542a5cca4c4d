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

// TestRate checks that two responses that share a link take as long together as their
// bytes take, and come whole.
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
		// All bytes but the first chunk wait for the link.
		want := time.Duration(2*size-chunk) * time.Second / rate
		assert.Assert(t, took > want-10*time.Millisecond && took < want+10*time.Millisecond, "took %s, want %s", took, want)
		for _, recorder := range recorders {
			assert.Equal(t, recorder.Body.Len(), size)
		}
	})
}
