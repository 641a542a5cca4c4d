// Package trace defines the format of traces: the turns of chats with their times, the events
// in the fleet meanwhile, and the expected outcomes.
//
// A trace is a file of JSON lines, as described in docs/interfaces.md. The package also generates
// traces of the two users' workloads (make.go). Package replay replays traces.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"github.com/ryeford/ryeford"
)

// A Kind is the kind of an entry.
type Kind string

// The kinds of entries.
const (
	KindTurn    Kind = "turn"         // a request of a caller
	KindPublish Kind = "publish"      // an operator publishes a template
	KindStopVM  Kind = "stop_vm"      // an operator starts a planned stop
	KindFault   Kind = "fault"        // a fault is set in a stand-in
	KindJoin    Kind = "engine_join"  // an engine is added; can't be replayed
	KindLeave   Kind = "engine_leave" // an engine is removed; can't be replayed
	KindOutcome Kind = "outcome"      // an expected result of the whole replay
)

// maxLine is the maximum length of a line of a trace, in bytes.
const maxLine = 1 << 20

// An Entry is one line of a trace. Entries are sorted by time. Outcomes have no time and may
// appear anywhere.
type Entry struct {
	Kind Kind `json:"kind"`
	// AtMS is the time in milliseconds from the start of the trace.
	AtMS int64 `json:"at_ms,omitempty"`

	// Fields of a turn.
	Account        ryeford.AccountID `json:"account,omitempty"`
	Chat           ryeford.ChatID    `json:"chat,omitempty"`
	Model          string            `json:"model,omitempty"`
	PromptTokens   int               `json:"prompt_tokens,omitempty"` // added by the turn
	SharedTokens   int               `json:"shared_tokens,omitempty"` // at the beginning of all chats of the account
	AnswerTokens   int               `json:"answer_tokens,omitempty"`
	NotRepeatable  bool              `json:"not_repeatable,omitempty"`
	IdempotencyKey string            `json:"idempotency_key,omitempty"`
	Priority       *int              `json:"priority,omitempty"`

	// Fields of the other kinds.
	Template *ryeford.Template `json:"template,omitempty"`
	VM       ryeford.VMID      `json:"vm,omitempty"`
	Engine   ryeford.EngineID  `json:"engine,omitempty"`
	Domain   string            `json:"failure_domain,omitempty"`
	Target   string            `json:"target,omitempty"` // the name of a stand-in
	Fault    json.RawMessage   `json:"fault,omitempty"`

	// Fields of an outcome: the inclusive bounds of a metric. A nil bound is not checked.
	Metric string   `json:"metric,omitempty"`
	Min    *float64 `json:"min,omitempty"`
	Max    *float64 `json:"max,omitempty"`
}

// An EntryError reports an invalid entry.
type EntryError struct {
	Problem string
}

func (e *EntryError) Error() string { return e.Problem }

// Read reads a trace. The error is a *ryeford.InputError with the number of the invalid line, an
// error of r, or bufio.ErrTooLong.
func Read(r io.Reader) ([]Entry, error) {
	var entries []Entry
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	last := int64(0)
	for line := 1; scanner.Scan(); line++ {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		var e Entry
		err := json.Unmarshal(scanner.Bytes(), &e)
		if err == nil {
			err = check(&e, last)
		}
		if err != nil {
			return nil, &ryeford.InputError{Field: fmt.Sprintf("line %d", line), Problem: err.Error()}
		}
		last = max(last, e.AtMS)
		entries = append(entries, e)
	}
	return entries, scanner.Err()
}

// check validates an entry. last is the time of the entry before it, in milliseconds.
func check(e *Entry, last int64) error {
	switch {
	case e.Kind == KindTurn && (e.Account == "" || e.Chat == "" || e.Model == ""):
		return &EntryError{Problem: "a turn needs account, chat and model"}
	case e.Kind == KindOutcome && (e.Metric == "" || (e.Min == nil && e.Max == nil)):
		return &EntryError{Problem: "an outcome needs metric, and min or max"}
	case e.Kind == KindOutcome:
		return nil
	case e.AtMS < last:
		return &EntryError{Problem: "at_ms is lower than in an earlier entry"}
	}
	switch e.Kind {
	case KindTurn, KindPublish, KindStopVM, KindFault, KindJoin, KindLeave:
		return nil
	}
	return &EntryError{Problem: fmt.Sprintf("unknown kind %q", e.Kind)}
}

// Write writes a trace.
func Write(w io.Writer, entries []Entry) error {
	encoder := json.NewEncoder(w)
	for i := range entries {
		if err := encoder.Encode(&entries[i]); err != nil {
			return err
		}
	}
	return nil
}
