package gateway

import (
	"sync"
	"time"
)

// fastestWindow is how long a response counts at least: an endpoint that was slow, cold
// for example, is soon tried again with requests that have less time. It counts for up
// to twice that. Not measured.
const fastestWindow = 5 * time.Second

// fastest remembers, for each service, the least time from the sending of a request to
// the first event of a stream, or to the whole of any other response, at any endpoint. A
// request that has less time left can't be answered. Its methods may be called
// concurrently.
type fastest struct {
	mu       sync.Mutex
	services map[string]*recent[time.Duration]
}

// newFastest returns a fastest without any service.
func newFastest() *fastest { return &fastest{services: make(map[string]*recent[time.Duration])} }

// observe takes the time of a response.
func (f *fastest) observe(now time.Time, service string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	times := f.services[service]
	if times == nil {
		times = newRecent[time.Duration](now)
		f.services[service] = times
	}
	times.advance(now, fastestWindow)
	times.current = least(times.current, took)
}

// of returns the least time of a service; zero if there was no response lately.
func (f *fastest) of(now time.Time, service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	times := f.services[service]
	if times == nil {
		return 0
	}
	times.advance(now, fastestWindow)
	return least(times.current, times.earlier)
}

// least returns the lesser of two times, of which zero stands for none.
func least(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}
