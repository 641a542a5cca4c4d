// Package trace is the format of recorded traces: the turns of chats with their
// times, what happens to the fleet meanwhile, and the outcomes that are expected.
//
// It owns the format (JSON lines, docs/interfaces.md) and draws traces of the two
// users' workloads (make.go). It relies on the root package's types only; package
// replay plays traces.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"github.com/ryeford/ryeford"
)

// A Kind says what an entry is.
type Kind string

// The kinds of entries.
const (
	KindTurn    Kind = "turn"         // a request of a caller
	KindPublish Kind = "publish"      // an operator publishes a template
	KindStopVM  Kind = "stop_vm"      // an operator begins a planned stop
	KindFault   Kind = "fault"        // a stand-in gets a fault
	KindJoin    Kind = "engine_join"  // read, but not played against a running fleet
	KindLeave   Kind = "engine_leave" // the same
	KindOutcome Kind = "outcome"      // what the whole replay is to reach
)

// maxLine is the longest line of a trace, in bytes.
const maxLine = 1 << 20

// An Entry is one line of a trace. Entries are in the order of their times;
// outcomes, which have none, may stand anywhere.
type Entry struct {
	Kind Kind `json:"kind"`
	// AtMS is when it happens, in milliseconds from the begin of the trace.
	AtMS int64 `json:"at_ms,omitempty"`

	// Of a turn.
	Account       ryeford.AccountID `json:"account,omitempty"`
	Chat          ryeford.ChatID    `json:"chat,omitempty"`
	Model         string            `json:"model,omitempty"`
	PromptTokens  int               `json:"prompt_tokens,omitempty"` // that the turn adds
	SharedTokens  int               `json:"shared_tokens,omitempty"` // that begin all chats of the account
	AnswerTokens  int               `json:"answer_tokens,omitempty"`
	NotRepeatable bool              `json:"not_repeatable,omitempty"`
	Idempotency   string            `json:"idempotency_key,omitempty"`
	Priority      *int              `json:"priority,omitempty"`

	// Of the other kinds.
	Template *ryeford.Template `json:"template,omitempty"`
	VM       ryeford.VMID      `json:"vm,omitempty"`
	Engine   ryeford.EngineID  `json:"engine,omitempty"`
	Domain   string            `json:"failure_domain,omitempty"`
	Target   string            `json:"target,omitempty"` // a stand-in's name
	Fault    json.RawMessage   `json:"fault,omitempty"`

	// Of an outcome: the metric is within the bounds.
	Metric string   `json:"metric,omitempty"`
	Min    *float64 `json:"min,omitempty"`
	Max    *float64 `json:"max,omitempty"`
}

// An EntryError says what is wrong with an entry.
type EntryError struct {
	Problem string
}

func (e *EntryError) Error() string { return e.Problem }

// Read reads a trace. Its errors are of type *ryeford.InputError, with the number of the
// wrong line, or those of r.
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

// check checks an entry that follows one at last, in milliseconds.
func check(e *Entry, last int64) error {
	switch {
	case e.Kind == KindTurn && (e.Account == "" || e.Chat == "" || e.Model == ""):
		return &EntryError{Problem: "a turn needs account, chat and model"}
	case e.Kind == KindOutcome && (e.Metric == "" || (e.Min == nil && e.Max == nil)):
		return &EntryError{Problem: "an outcome needs metric, and min or max"}
	case e.Kind == KindOutcome:
		return nil
	case e.AtMS < last:
		return &EntryError{Problem: "at_ms goes back"}
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
