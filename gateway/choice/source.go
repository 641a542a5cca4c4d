package choice

// A Source says from which other endpoint the chosen one may fetch the part of the
// prompt that it lacks.
type Source int

// The sources.
const (
	// SourceIndexed is the endpoint that, by the prefix-cache index, holds the
	// longest beginning of the prompt, if there is one.
	SourceIndexed Source = iota
	// SourceAlternate is the choice's alternate.
	SourceAlternate
)

// SourceOf returns the source of a choice by affinity. indexed is how many of the
// prompt's shared parts the index knows to be held by one other endpoint, shared how
// many there are, and joined says that the chosen endpoint was not on the first list
// that this router read.
//
// What the index knows to hold all shared parts, or any beginning of them, is the
// source. But the index forgets, and a router that started late has missed most: if
// it knows only a beginning, and the chosen endpoint is probably not where earlier
// requests with this prompt went, the alternate is, and more likely has it all. Set
// by the runs in docs/design.md ("who is known to hold the parts is the source",
// 2a0751d; "fetching from the best other of the order", a37ab61).
func SourceOf(chosen *Choice, indexed, shared int, joined bool) Source {
	if chosen.Alternate < 0 || indexed >= shared {
		return SourceIndexed
	}
	displaced := chosen.Reason != ReasonHome || chosen.AlternateFirst || joined
	if indexed == 0 || displaced {
		return SourceAlternate
	}
	return SourceIndexed
}
