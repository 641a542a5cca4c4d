package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/ryeford/ryeford"
)

// A Workload holds the parameters of a generated trace.
type Workload struct {
	Seed      uint64 // of the random generator; equal workloads generate equal traces
	Accounts  int    // the number of client accounts
	Chats     int    // the number of chats, to which turns are assigned at random
	FirstChat int    // the number in the first chat's ID
	Turns     int
	Seconds   float64 // the length of the trace
	// EventAt is when an event begins, in seconds. EventFraction is the fraction of the turns
	// that arrive in the rush after it. The others are distributed uniformly.
	EventAt       float64
	EventFraction float64
	// PromptTokens and AnswerTokens are the mean numbers of tokens that a turn adds and that
	// its answer has. Both are exponentially distributed.
	PromptTokens float64
	AnswerTokens float64
	// NotRepeatable is the fraction of the turns that must not run more than once.
	NotRepeatable float64
	// Zipf is the exponent of the Zipf distribution of chats over accounts. Zero distributes
	// them uniformly.
	Zipf  float64
	Model string
}

// Skriptorij returns a workload of calls: short prompts, a campaign at a fixed time, a few
// large accounts.
func Skriptorij(seed uint64, turns int) Workload {
	return Workload{
		Seed: seed, Accounts: 10, Chats: max(1, turns/5), Turns: turns, Seconds: 60, EventAt: 20, EventFraction: 0.4,
		PromptTokens: 60, AnswerTokens: 30, NotRepeatable: 0.1, Zipf: 1.2, Model: "lira",
	}
}

// Nordlytt returns a workload of listeners and editors: long transcripts, a rush at the end of a
// broadcast.
func Nordlytt(seed uint64, turns int) Workload {
	return Workload{
		Seed: seed, Accounts: 10, Chats: max(1, turns/4), Turns: turns, Seconds: 60, EventAt: 30, EventFraction: 0.5,
		PromptTokens: 400, AnswerTokens: 40, NotRepeatable: 0.05, Zipf: 1, Model: "lira",
	}
}

// rushSeconds is the mean time from the start of an event to a turn of its rush. The time is
// exponentially distributed.
const rushSeconds = 3

// sharedTokens is the number of tokens that the prompts of all chats of an account begin with.
const sharedTokens = 20

// seedMix derives the second half of the generator's seed from the first. It is the fractional
// part of the golden ratio in 64 bits.
const seedMix = 0x9e3779b97f4a7c15

// Make generates a trace. Its turns are sorted by time.
func Make(w *Workload) []Entry {
	random := rand.New(rand.NewPCG(w.Seed, w.Seed^seedMix))
	owners := drawAccounts(random, w)
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
			entry.IdempotencyKey = fmt.Sprintf("key-%d-%d", w.FirstChat, i)
		}
		entries = append(entries, entry)
	}
	slices.SortStableFunc(entries, func(a, b Entry) int { return int(a.AtMS - b.AtMS) })
	return entries
}

// drawAccounts returns the account of each chat. Accounts with lower numbers get more chats.
func drawAccounts(random *rand.Rand, w *Workload) []ryeford.AccountID {
	cumulative := make([]float64, w.Accounts) // weights
	total := 0.0
	for i := range cumulative {
		total += math.Pow(float64(i+1), -w.Zipf)
		cumulative[i] = total
	}
	owners := make([]ryeford.AccountID, w.Chats)
	for c := range owners {
		account, _ := slices.BinarySearch(cumulative, random.Float64()*total)
		owners[c] = ryeford.AccountID(fmt.Sprintf("account-%d", account))
	}
	return owners
}

// drawTime returns the time of a turn, in milliseconds from the start of the trace.
func drawTime(random *rand.Rand, w *Workload) int64 {
	if random.Float64() < w.EventFraction {
		at := w.EventAt + random.ExpFloat64()*rushSeconds
		return int64(1000 * min(at, w.Seconds))
	}
	return int64(1000 * random.Float64() * w.Seconds)
}
