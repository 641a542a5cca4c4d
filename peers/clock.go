package peers

import (
	"sync"
	"time"
)

// sentKept is how many of a router's own messages are remembered.
const sentKept = 64

// A SendLog remembers when a router's own messages were sent, so that an echo of
// one bounds the age of what comes with it, however long that took and whatever
// the clocks of the two say.
type SendLog struct {
	started int64

	mu   sync.Mutex
	sent [sentKept]sentMessage
}

type sentMessage struct {
	sequence uint64
	at       time.Time
}

// NewSendLog returns the SendLog of one life of a router.
func NewSendLog(started int64) *SendLog { return &SendLog{started: started} }

// Note notes a message that is about to be sent.
func (l *SendLog) Note(now time.Time, sequence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[sequence%sentKept] = sentMessage{sequence: sequence, at: now}
}

// ConfirmedAt returns a time at or before which the sender's configuration was
// confirmed, and false where the message does not tell: it is neither confirmed
// nor an echo of a message that is remembered.
//
// The sender had our message when it wrote its own, so that it wrote it after
// ours was sent: what was then so old is at most that much older than ours.
func (l *SendLog) ConfirmedAt(message *Message, echo *Echo) (time.Time, bool) {
	if !message.Confirmed || echo.Started != l.started || message.Age < 0 {
		return time.Time{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	sent := l.sent[echo.Sequence%sentKept]
	if sent.sequence != echo.Sequence || sent.at.IsZero() {
		return time.Time{}, false
	}
	return sent.at.Add(-message.Age), true
}
