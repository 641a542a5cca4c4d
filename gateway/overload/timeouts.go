package overload

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
)

// Whether a request has come back too late.
//
// Rule: a request is late if its caller waits for less than lateShare of the longest time that callers of the same
// account have recently stated on the same route, and its goal has passed since.
//
// Why: a caller that was refused and comes back states what is left of its time. The callers of one account use the
// same programs, which state similar times in their first attempts.

const (
	// lateShare is the part of the longest recent timeout below which a request counts as come back.
	lateShare = 0.75
	// timeoutWindow is how long a timeout counts at least; it counts twice as long at most.
	timeoutWindow = 10 * time.Second
	// maxTimeouts bounds the routes and accounts that are tracked.
	maxTimeouts = 4096
)

// timeouts are the longest timeouts that callers have recently stated. It is safe for concurrent use.
type timeouts struct {
	mu      sync.Mutex
	longest map[callers]*longestTimeout
}

// callers are the callers of one account on one route.
type callers struct {
	route   string
	account ryeford.AccountID
}

// A longestTimeout is the longest timeout of the current and the previous window.
type longestTimeout struct {
	started           time.Time // start of the current window
	current, previous time.Duration
}

func newTimeouts() *timeouts { return &timeouts{longest: make(map[callers]*longestTimeout)} }

// late reports whether a request has come back too late to be answered within its goal, and records its timeout.
func (t *timeouts) late(now time.Time, request *Request) bool {
	if request.Timeout <= 0 || request.Goal <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := callers{route: request.Route, account: request.Account}
	l := t.longest[key]
	if l == nil {
		if len(t.longest) >= maxTimeouts {
			clear(t.longest)
		}
		l = &longestTimeout{started: now}
		t.longest[key] = l
	}
	longest := l.add(now, request.Timeout)
	return request.Timeout < time.Duration(lateShare*float64(longest)) && longest-request.Timeout > request.Goal
}

// add records a timeout, and returns the longest one.
func (l *longestTimeout) add(now time.Time, timeout time.Duration) time.Duration {
	if now.Sub(l.started) >= timeoutWindow {
		l.started, l.previous, l.current = now, l.current, 0
	}
	l.current = max(l.current, timeout)
	return max(l.current, l.previous)
}
