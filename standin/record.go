package standin

import "time"

// A RunRecord is one run of an engine or a service, as the stand-in saw it. Tests
// compare these records with what callers were answered.
type RunRecord struct {
	Attempt string    `json:"attempt"`
	Chat    string    `json:"chat,omitempty"`
	Path    string    `json:"path,omitempty"` // of a service's call, with its query
	Body    string    `json:"body,omitempty"` // of a service's call
	At      time.Time `json:"at"`             // when it came
	// End is when the run ended; zero while it goes on, and at a service.
	End time.Time `json:"end,omitzero"`
}

// EngineCounts are the runs of an engine, the oldest first, as it answers at PathRuns.
type EngineCounts struct {
	Runs []RunRecord `json:"runs"`
}
