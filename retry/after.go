package retry

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxRetryAfter limits the time that RetryAfter returns, so that an implausible number stays within the
// range of time.Duration.
const maxRetryAfter = 24 * time.Hour

// RetryAfter returns how long a response asks its client to send no requests. Only 503 and 429 responses
// with a Retry-After header do so; for others it returns 0.
func RetryAfter(status int, header http.Header) time.Duration {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return 0
	}
	return retryAfter(header)
}

// retryAfter returns the time that the Retry-After header of a response specifies (RFC 9110). If there are
// several values, the longest counts. Invalid values and dates in the past count as 0.
func retryAfter(header http.Header) time.Duration {
	var longest time.Duration
	for _, text := range header.Values("Retry-After") {
		longest = max(longest, parseRetryAfter(strings.TrimSpace(text), header.Get("Date")))
	}
	return min(longest, maxRetryAfter)
}

// parseRetryAfter parses a number of seconds, which may have a fraction, or an HTTP date. A date is
// relative to the response's Date header, which uses the same clock; without it the result is 0.
func parseRetryAfter(text, date string) time.Duration {
	if isDecimal(text) {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil && !errors.Is(err, strconv.ErrRange) { // ErrRange yields infinity, which is capped below
			return 0
		}
		return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	until, err := http.ParseTime(text)
	if err != nil {
		return 0
	}
	now, err := http.ParseTime(date)
	if err != nil {
		return 0
	}
	return max(0, until.Sub(now))
}

// isDecimal reports whether text consists of digits and points only. Signs and exponents are not
// accepted.
func isDecimal(text string) bool { return text != "" && strings.Trim(text, "0123456789.") == "" }
