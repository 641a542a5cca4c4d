package retry

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxAfter bounds the time that Rest returns, so that a number which nobody can have meant stays within
// the range of time.Duration.
const maxAfter = 24 * time.Hour

// Rest returns for how long a response asks its client to send nothing: 503 and 429 do, if they say when to
// come back.
func Rest(status int, header http.Header) time.Duration {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return 0
	}
	return after(header)
}

// after returns for how long the header of a response asks its client to wait (RFC 9110, Retry-After), of
// several times the longest. What can't be read, and a time that is over, asks for none.
func after(header http.Header) time.Duration {
	var longest time.Duration
	for _, text := range header.Values("Retry-After") {
		longest = max(longest, parseAfter(strings.TrimSpace(text), header.Get("Date")))
	}
	return min(longest, maxAfter)
}

// parseAfter reads a number of seconds, which may have a fraction, or a date. A date counts from that of the
// response, which is of the same clock; without that it says nothing.
func parseAfter(text, date string) time.Duration {
	if isDecimal(text) {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil && !errors.Is(err, strconv.ErrRange) { // beyond the range it is infinite
			return 0
		}
		return time.Duration(min(seconds, maxAfter.Seconds()) * float64(time.Second))
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

// isDecimal reports whether a text has only digits and points: a sign, an exponent or a word is no time
// to retry after.
func isDecimal(text string) bool { return text != "" && strings.Trim(text, "0123456789.") == "" }
