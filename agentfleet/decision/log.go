// Package decision logs each routing, refusal, placement and configuration
// decision as one line, and keeps the last lines by request, so that a process
// can explain what it did.
package decision

import (
	"bytes"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-logfmt/logfmt"

	"github.com/ryeford/ryeford"
)

const kept = 20_000 // lines

// A Log logs decisions and keeps the last ones.
type Log struct {
	out log.Logger

	mu    sync.Mutex
	lines [kept]line
	next  int
}

type line struct {
	request ryeford.RequestID
	text    string
}

// NewLog returns a Log that writes to a logger.
func NewLog(out log.Logger) *Log {
	return &Log{out: out}
}

// Note logs one decision. The pairs are keys and values in turn.
func (l *Log) Note(request ryeford.RequestID, pairs ...any) error {
	if request != "" {
		l.keep(request, pairs)
	}
	return l.out.Log(pairs...)
}

// keep keeps a decision's line.
func (l *Log) keep(request ryeford.RequestID, pairs []any) {
	var b bytes.Buffer
	e := logfmt.NewEncoder(&b)
	_ = e.EncodeKeyval("ts", time.Now().UTC().Format(time.RFC3339Nano))
	for i := 0; i+1 < len(pairs); i += 2 {
		_ = e.EncodeKeyval(pairs[i], pairs[i+1])
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines[l.next] = line{request: request, text: b.String()}
	l.next = (l.next + 1) % kept
}

// Lines returns the kept decisions on a request, in their order.
func (l *Log) Lines(request ryeford.RequestID) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for i := range kept {
		if line := &l.lines[(l.next+i)%kept]; line.request == request {
			found = append(found, line.text)
		}
	}
	return found
}
