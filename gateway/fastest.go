package gateway

import "time"

// fastestWindow is how long a response counts at least: an endpoint that was slow, cold
// for example, is soon tried again with requests that have less time.
const fastestWindow = 5 * time.Second

// newFastest returns, for each service, the least time from the sending of a request to
// the first event of a stream, or to the whole of any other response, at any endpoint:
// zero if there was none. A request that has less time left can't be answered.
func newFastest() *recent[time.Duration] { return newRecent(fastestWindow, least) }

// least returns the lesser of two times, of which zero stands for none.
func least(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}
