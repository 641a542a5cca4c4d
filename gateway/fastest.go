package gateway

import "time"

// minResponseTimesWindow is how long a response time counts at least. It is short so that an
// endpoint that was slow only for a time, such as a cold one, is soon tried again with requests
// that have less time left.
const minResponseTimesWindow = 5 * time.Second

// newMinResponseTimes returns the minimum response time of each service: the time from the
// sending of a request to the first event of a stream or the complete response, at any
// endpoint. It is zero if there was none. A request with less time left can't be answered.
func newMinResponseTimes() *slidingWindow[time.Duration] {
	return newSlidingWindow(minResponseTimesWindow, minNonZero)
}

// minNonZero returns the shorter of two durations. Zero means none.
func minNonZero(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}
