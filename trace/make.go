package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/ryeford/ryeford"
)

// A Workload is the shape of a drawn trace.
type Workload struct {
	Seed      uint64 // the same one draws the same trace
	Accounts  int    // client accounts
	Chats     int    // from which the turns are drawn
	FirstChat int    // the number in the first chat's id
	Turns     int
	Seconds   float64 // the length of the trace
	// EventAt is when an event begins, in seconds, and EventPart the part of the
	// turns that come in the rush after it. The others are spread evenly.
	EventAt   float64
	EventPart float64
	// PromptTokens and AnswerTokens are the means of the tokens that a turn adds
	// and of those of its answer, both exponentially distributed.
	PromptTokens float64
	AnswerTokens float64
	// NotRepeatable is the part of the turns that must not run more than once.
	NotRepeatable float64
	// Zipf is the exponent by which accounts' shares of the chats fall; zero makes
	// all accounts alike.
	Zipf  float64
	Model string
}

// Skriptorij returns the workload of calls: short prompts, shifts, a campaign
// at a fixed time, a few large accounts.
func Skriptorij(seed uint64, turns int) Workload {
	return Workload{
		Seed: seed, Accounts: 10, Chats: max(1, turns/5), Turns: turns, Seconds: 60, EventAt: 20, EventPart: 0.4,
		PromptTokens: 60, AnswerTokens: 30, NotRepeatable: 0.1, Zipf: 1.2, Model: "lira",
	}
}

// Nordlytt returns the workload of listeners and editors: long transcripts, a
// broadcast's end.
func Nordlytt(seed uint64, turns int) Workload {
	return Workload{
		Seed: seed, Accounts: 10, Chats: max(1, turns/4), Turns: turns, Seconds: 60, EventAt: 30, EventPart: 0.5,
		PromptTokens: 400, AnswerTokens: 40, NotRepeatable: 0.05, Zipf: 1, Model: "lira",
	}
}

// rushSeconds is the mean time from an event's begin to a turn of its rush, which
// is exponentially distributed.
const rushSeconds = 3

// sharedTokens are the tokens that all chats of an account begin with.
const sharedTokens = 20

// seedMix makes the second half of the generator's seed differ from the first: the
// fraction of the golden ratio, in 64 bits.
const seedMix = 0x9e3779b97f4a7c15

// Make draws a trace: turns in the order of their times.
func Make(w *Workload) []Entry {
	random := rand.New(rand.NewPCG(w.Seed, w.Seed^seedMix))
	owners := drawOwners(random, w)
	entries := make([]Entry, 0, w.Turns)
	for i := range w.Turns {
		chat := random.IntN(w.Chats)
		entry := Entry{
			Kind:         KindTurn,
			AtMS:         drawTime(random, w),
			Account:      owners[chat],
			Chat:         ryeford.ChatID(fmt.Sprintf("chat-%d", w.FirstChat+chat)),
			Model:        w.Model,
			PromptTokens: 1 + int(random.ExpFloat64()*w.PromptTokens),
			SharedTokens: sharedTokens,
			AnswerTokens: 1 + int(random.ExpFloat64()*w.AnswerTokens),
		}
		if random.Float64() < w.NotRepeatable {
			entry.NotRepeatable = true
			entry.Idempotency = fmt.Sprintf("key-%d-%d", w.FirstChat, i)
		}
		entries = append(entries, entry)
	}
	slices.SortStableFunc(entries, func(a, b Entry) int { return int(a.AtMS - b.AtMS) })
	return entries
}

// drawOwners returns the account of each chat; the first accounts have the most.
func drawOwners(random *rand.Rand, w *Workload) []ryeford.AccountID {
	upTo := make([]float64, w.Accounts) // the weights of the accounts up to each one
	total := 0.0
	for i := range upTo {
		total += math.Pow(float64(i+1), -w.Zipf)
		upTo[i] = total
	}
	owners := make([]ryeford.AccountID, w.Chats)
	for c := range owners {
		account, _ := slices.BinarySearch(upTo, random.Float64()*total)
		owners[c] = ryeford.AccountID(fmt.Sprintf("account-%d", account))
	}
	return owners
}

// drawTime returns when a turn comes, in milliseconds.
func drawTime(random *rand.Rand, w *Workload) int64 {
	if random.Float64() < w.EventPart {
		at := w.EventAt + random.ExpFloat64()*rushSeconds
		return int64(1000 * min(at, w.Seconds))
	}
	return int64(1000 * random.Float64() * w.Seconds)
}
