package standin

import "github.com/ryeford/ryeford"

// An EngineFault is what is wrong with an engine. Its zero value is no fault. Counts
// of tokens are those of an answer from its beginning, whichever engine made them.
type EngineFault struct {
	// Times is how many runs the fault affects; zero is all until it is
	// cleared.
	Times int `json:"times"`
	// StallAfter sends nothing more after so many tokens, and leaves the run open.
	StallAfter int `json:"stall_after"`
	// DieAfter cuts the connection after so many tokens, and loses the run, as an
	// engine does that crashes.
	DieAfter int `json:"die_after"`
	// ErrorAfter sends an error event after so many tokens.
	ErrorAfter int `json:"error_after"`
	// Finish ends an answer after FinishAfter tokens with another finish reason.
	Finish      ryeford.FinishReason `json:"finish"`
	FinishAfter int                  `json:"finish_after"`
	// Disorder sends events out of order, repeated, and of other attempts.
	Disorder bool `json:"disorder"`
	// Refuse answers 503 to completions.
	Refuse bool `json:"refuse"`
	// DelayMS delays the start of each run, in milliseconds.
	DelayMS int `json:"delay_ms"`
}
