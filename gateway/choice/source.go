package choice

// FromAlternate reports whether the chosen endpoint of a choice by affinity may fetch the
// part of the prompt that it lacks from the choice's alternate, and not from the source
// that the prefix-cache index names: the endpoint that holds the longest beginning of the
// prompt, if there is one. indexed is how many of the prompt's shared parts the index knows
// to be held by one other endpoint, shared how many there are, and joined says that the
// chosen endpoint was not on the first list that this router read.
//
// What the index knows to hold all shared parts, or any beginning of them, is the
// source. But the index forgets, and a router that started late has missed most: if
// it knows only a beginning, and the chosen endpoint is probably not where earlier
// requests with this prompt went, the alternate is, and more likely has it all. Set
// by the runs in docs/design.md ("who is known to hold the parts is the source",
// 2a0751d; "fetching from the best other of the order", a37ab61).
func FromAlternate(chosen *Choice, indexed, shared int, joined bool) bool {
	if chosen.Alternate < 0 || indexed >= shared {
		return false
	}
	displaced := chosen.Reason != ReasonHome || chosen.AlternateFirst || joined
	return indexed == 0 || displaced
}
