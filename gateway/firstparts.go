package gateway

import (
	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/peers"
)

// First parts of prompts in the messages of a large fleet.
//
// Rule: a message names, for a few of the largest first parts of prompts that this router has sent, the endpoint that
// it last sent each of them to.
//
// Why: many prompts begin with one of a few large parts. A router of a large fleet gets too few requests to know which
// endpoints have read them, so that each endpoint would process each of these parts itself.

const (
	// maxFirstParts is the number of first parts in a message.
	maxFirstParts = 3
	// maxKnownFirstParts is the number of first parts that a router remembers for its messages.
	maxKnownFirstParts = 16
)

// A firstPart is the first part of prompts, and the endpoint that was last sent it.
type firstPart struct {
	endpoint ryeford.EndpointID
	part     ryeford.PromptPart
}

// A firstParts holds the largest first parts that this router has sent.
type firstParts struct {
	known []firstPart
	turn  int // index of the next one to be named
}

// add records that an endpoint was sent a prompt that begins with the parts.
func (f *firstParts) add(endpoint ryeford.EndpointID, parts []ryeford.PromptPart) {
	if len(parts) == 0 {
		return
	}
	added := firstPart{endpoint: endpoint, part: parts[0]}
	smallest := -1
	for i := range f.known {
		if f.known[i].part.ID == added.part.ID {
			f.known[i] = added
			return
		}
		if smallest < 0 || f.known[i].part.Tokens < f.known[smallest].part.Tokens {
			smallest = i
		}
	}
	switch {
	case len(f.known) < maxKnownFirstParts:
		f.known = append(f.known, added)
	case f.known[smallest].part.Tokens < added.part.Tokens:
		f.known[smallest] = added
	}
}

// next returns the next n first parts in turn.
func (f *firstParts) next(n int) []peers.Prompt {
	var prompts []peers.Prompt
	for range min(n, len(f.known)) {
		f.turn = (f.turn + 1) % len(f.known)
		known := f.known[f.turn]
		prompts = append(prompts, peers.Prompt{Endpoint: known.endpoint, Parts: []uint64{known.part.ID}})
	}
	return prompts
}
