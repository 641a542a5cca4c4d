package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/platform/wire"
	"github.com/ryeford/ryeford/settings"
)

// TestLateRequestsAtStop guards against requests that come late in the grace period of a gateway that stops, are passed on and
// then cut off without an answer, while endpoints take longer than the estimates say. Streams sent in the first three seconds
// may be cut off at the end.
func TestLateRequestsAtStop(t *testing.T) {
	const grace = 6 * time.Second
	for _, kept := range []bool{true, false} {
		t.Run(fmt.Sprintf("connections kept %t", kept), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, longStreamConfiguration(), func(s *settings.Gateway) { s.Bounds.Grace = grace })
			plain, model := f.addEndpoint("plain", "p1", 0), f.addEndpoint("model", "m1", 5)
			f.awaitReady(true)
			f.awaitEndpoints(2)
			transport := f.client.Transport.(*http.Transport)
			transport.DisableKeepAlives, transport.MaxIdleConnsPerHost = !kept, 1000
			for range 5 {
				assert.Equal(t, f.call("POST", "/once/a").status, http.StatusOK)
				assert.Equal(t, f.call("GET", "/safe/a").status, http.StatusOK)
				assert.Equal(t, f.call("POST", "/stream/a").status, http.StatusOK)
			}
			plain.Step, model.Step = 2500*time.Millisecond, 600*time.Millisecond
			f.stop()
			f.awaitLog("msg=stopping")
			stopped := time.Now()
			var calls sync.WaitGroup
			var mu sync.Mutex
			cut, statuses := make(map[string]time.Duration), make(map[int]int)
			for number := 0; time.Since(stopped) < grace; number++ {
				for _, route := range []string{"POST /once/a", "GET /safe/a", "POST /stream/a", "POST /resume/a"} {
					method, path, _ := strings.Cut(route, " ")
					request := f.request(method, path, "key-1", "")
					id, sent := fmt.Sprintf("%s-%d", path[1:], number), time.Since(stopped)
					request.Header.Set(wire.HeaderRequestID, id)
					calls.Add(1)
					go func() {
						defer calls.Done()
						response, err := f.client.Do(request)
						if err == nil {
							defer func() { _ = response.Body.Close() }()
							_, err = io.ReadAll(response.Body)
						}
						mu.Lock()
						defer mu.Unlock()
						if err != nil {
							cut[id] = sent
							return
						}
						statuses[response.StatusCode]++
					}()
				}
				time.Sleep(40 * time.Millisecond)
			}
			calls.Wait()
			t.Logf("answered %v, not answered %d", statuses, len(cut))
			for id, sent := range cut {
				isStream := strings.HasPrefix(id, "stream") || strings.HasPrefix(id, "resume")
				if isStream && sent < 3*time.Second {
					continue
				}
				assert.Check(t, plain.Runs()[id]+model.Runs()[id] == 0, "%s, sent after %v, was passed on and not answered", id, sent)
			}
		})
	}
}
