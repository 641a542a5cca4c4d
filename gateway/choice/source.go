package choice

// FetchFromAlternate reports whether the chosen endpoint should fetch the missing part of the
// prompt from the choice's alternate rather than from the source in the prefix-cache index, which
// is the endpoint that holds the longest indexed prefix. indexed is the number of the prompt's
// shared parts that the index lists for another endpoint, shared the number of shared parts, and
// joined reports that the chosen endpoint has joined since this router's first choice.
//
// The index evicts entries, and a router that started late lacks most of them. If the index lists
// no part, the alternate is used. If it lists only a prefix, and earlier requests with this prompt
// probably went to another endpoint than the chosen one, the alternate is more likely to hold the
// whole prompt.
func FetchFromAlternate(chosen *Choice, indexed, shared int, joined bool) bool {
	if chosen.Alternate < 0 || indexed >= shared {
		return false
	}
	displaced := chosen.Reason != ReasonHome || chosen.AlternateFirst || joined
	return indexed == 0 || displaced
}
