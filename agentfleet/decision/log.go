// Package decision logs each routing, refusal, placement and configuration
// decision of the fleet with agents as one line, and keeps the last lines on
// requests in memory, so that `ryeford explain` can ask a process what it did.
//
// It owns the kept lines, and relies on the logger for the others. A gateway writes
// its decisions to the log alone, and explain reads them there: its memory is
// bounded, and its operators have its log, while those of a fleet with agents ask
// its routers.
package decision

import (
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-logfmt/logfmt"

	"github.com/ryeford/ryeford"
)

// maxLines is how many lines on requests a Log keeps.
const maxLines = 20_000

// A Log logs decisions and keeps the last ones on requests. Its methods may be
// called concurrently.
type Log struct {
	out log.Logger

	mu    sync.Mutex
	lines [maxLines]line
	next  int // where the next line goes: the oldest one
}

// A line is a decision on a request, in logfmt.
type line struct {
	request ryeford.RequestID
	text    string
}

// NewLog returns a Log that writes to a logger.
func NewLog(out log.Logger) *Log {
	return &Log{out: out}
}

// Record logs one decision, and keeps it if it is on a request. The pairs are keys
// and values in turn.
func (l *Log) Record(request ryeford.RequestID, pairs ...any) {
	if request != "" {
		l.retain(request, pairs)
	}
	// An error says that standard error can't be written to, and there is no other
	// place to say so.
	_ = l.out.Log(pairs...)
}

func (l *Log) retain(request ryeford.RequestID, pairs []any) {
	now := time.Now().UTC().Format(time.RFC3339Nano)
	// An error would say that a key is empty; a value that can't be encoded is replaced
	// by its error's text.
	text, _ := logfmt.MarshalKeyvals(slices.Concat([]any{"ts", now}, pairs)...)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines[l.next] = line{request: request, text: string(text)}
	l.next = (l.next + 1) % maxLines
}

// Lines returns the kept decisions on a request, in the order of time.
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
