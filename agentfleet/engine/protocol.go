package engine

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/ryeford/ryeford"
)

// Paths and headers of the engine protocol.
//
// HeaderAttempt carries the attempt ID, HeaderChat the ID under which the engine caches
// the chat, and HeaderLastEvent the ID of the last event that the client of a resumed
// stream has received. HeaderStart carries the time at which the attempt was admitted
// (FormatStart), from which an engine can log the time until the request arrived.
const (
	PathCompletions = "/v1/chat/completions"
	PathEvents      = "/cache_events"
	PathCache       = "/cache/"
	PathServing     = "/serving"
	HeaderAttempt   = "X-Request-Id"
	HeaderChat      = "X-Chat-Id"
	HeaderLastEvent = "Last-Event-ID"
	HeaderStart     = "X-Request-Start"
)

// A CompletionRequest is the body of a completion.
type CompletionRequest struct {
	Model     string            `json:"model"`
	Messages  []ryeford.Message `json:"messages"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens,omitempty"`
	Priority  int               `json:"priority"`
	// Prefix is the beginning of an answer that the engine is to continue.
	Prefix string `json:"prefix,omitempty"`
}

// A CompletionChunk is the data of one event in a streamed answer.
type CompletionChunk struct {
	ID      string           `json:"id"`
	Object  string           `json:"object,omitempty"`
	Choices []Choice         `json:"choices,omitempty"`
	Usage   *ryeford.Usage   `json:"usage,omitempty"`
	Error   *CompletionError `json:"error,omitempty"`
}

// A Choice is the part of a streamed answer in one chunk.
type Choice struct {
	Index        int                  `json:"index"`
	Delta        Delta                `json:"delta"`
	FinishReason ryeford.FinishReason `json:"finish_reason,omitempty"`
}

// A Delta is the text that a chunk adds to the answer.
type Delta struct {
	Content string `json:"content,omitempty"`
}

// A CompletionError is an error that an engine reports within a stream.
type CompletionError struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}

// EventID returns the event ID of a chunk, in the form ATTEMPT:OFFSET.
func EventID(attempt ryeford.AttemptID, offset int64) string {
	return string(attempt) + ":" + strconv.FormatInt(offset, 10)
}

// ParseEventID parses an event ID. The error is a *ryeford.InputError.
func ParseEventID(id string) (ryeford.AttemptID, int64, error) {
	attempt, text, ok := strings.Cut(id, ":")
	offset, err := strconv.ParseInt(text, 10, 64)
	if !ok || err != nil || attempt == "" {
		return "", 0, &ryeford.InputError{Field: "event id", Problem: "want ATTEMPT:OFFSET"}
	}
	return ryeford.AttemptID(attempt), offset, nil
}

// startPrefix is the prefix of a HeaderStart value, as proxies conventionally set it.
const startPrefix = "t="

// FormatStart returns the HeaderStart value for a time: t= and the Unix time in
// microseconds.
func FormatStart(at time.Time) string {
	return startPrefix + strconv.FormatInt(at.UnixMicro(), 10)
}

// ParseStart parses a HeaderStart value. The error is a *ryeford.InputError.
func ParseStart(value string) (time.Time, error) {
	text, ok := strings.CutPrefix(value, startPrefix)
	micros, err := strconv.ParseInt(text, 10, 64)
	if !ok || err != nil {
		return time.Time{}, &ryeford.InputError{Field: HeaderStart, Problem: "want t=MICROSECONDS"}
	}
	return time.UnixMicro(micros), nil
}

func attemptPath(attempt ryeford.AttemptID) string {
	return PathCompletions + "/" + url.PathEscape(string(attempt))
}
