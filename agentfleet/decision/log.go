// Package decision logs each routing, refusal, placement and configuration decision of
// the fleet with agents as one line, and keeps the latest lines about requests in
// memory for `ryeford explain`.
//
// The memory is bounded. A gateway doesn't keep its decisions in memory: explain reads
// them from its log.
package decision

import (
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-logfmt/logfmt"

	"github.com/ryeford/ryeford"
)

// maxLines is how many lines about requests a Log keeps.
const maxLines = 20_000

// A Log logs decisions and keeps the latest ones about requests. Its methods may be
// called concurrently.
type Log struct {
	out log.Logger

	mu    sync.Mutex
	lines [maxLines]line
	next  int // index of the next line to write, which holds the oldest one
}

// A line is a decision about a request, in logfmt.
type line struct {
	request ryeford.RequestID
	text    string
}

// NewLog returns a Log that writes to a logger.
func NewLog(out log.Logger) *Log {
	return &Log{out: out}
}

// Record logs one decision, and keeps it if it is about a request. pairs are
// alternating keys and values.
func (l *Log) Record(request ryeford.RequestID, pairs ...any) {
	if request != "" {
		l.retain(request, pairs)
	}
	// An error means that standard error is not writable, so there is nowhere to report
	// it.
	_ = l.out.Log(pairs...)
}

func (l *Log) retain(request ryeford.RequestID, pairs []any) {
	now := time.Now().UTC().Format(time.RFC3339Nano)
	// An error means an empty key. Values that can't be encoded are replaced by the
	// text of their error.
	text, _ := logfmt.MarshalKeyvals(slices.Concat([]any{"ts", now}, pairs)...)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines[l.next] = line{request: request, text: string(text)}
	l.next = (l.next + 1) % maxLines
}

// Lines returns the kept decisions about a request, oldest first.
func (l *Log) Lines(request ryeford.RequestID) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for i := range maxLines {
		if line := &l.lines[(l.next+i)%maxLines]; line.request == request {
			found = append(found, line.text)
		}
	}
	return found
}
