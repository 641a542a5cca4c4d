package replay

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/caller"
	"github.com/ryeford/ryeford/trace"
)

// The range and the precision of the histograms. maxMicros is longer than any turn takes.
const (
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// A Report holds the results of a replay.
type Report struct {
	Turns          int // turns of the trace
	Answered       int // turns with a complete and correct answer
	Wrong          int // turns with a complete but incorrect answer
	Incomplete     int // turns whose answer was truncated without a failure
	Refused        int // turns that failed and provably did not run
	Unknown        int // turns that failed and may have run
	Returning      int // answered turns of chats with an earlier answered turn
	Reused         int // Returning turns whose prompt was found in an engine's cache
	Resumed        int // parts of answers that were received through another router
	FailedAttempts int // attempts of callers without a complete answer
	Tries          int // attempts of routers at engines, for answered turns
	RanRefused     int // runs of chats whose turns were all refused
	DoubleRuns     int // additional runs of turns that must not run more than once

	// Skew is the highest ratio of the busiest engine's load to the mean load. AdmitSkew is the
	// highest ratio for the engine that admits a run, at the time of admission, and AdmitSkewP99
	// the 99th percentile of these ratios. Times with a mean load below skewFloor are ignored.
	Skew, AdmitSkew, AdmitSkewP99 float64
	Peak                          int // the highest load of any engine, in requests
	Took                          time.Duration

	mu       sync.Mutex
	chats    map[ryeford.ChatID]chatOutcome // by chatKey
	accounts map[ryeford.AccountID]*accountOutcome
	failures map[string]int // failed attempts by code
	first    *hdrhistogram.Histogram
	between  *hdrhistogram.Histogram
}

// newHistogram returns a histogram of times in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicros, significantDigits)
}

// record adds a duration to a histogram. Durations above maxMicros are ignored.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(d.Microseconds())
}

// An accountOutcome holds the results of an account's turns.
type accountOutcome struct {
	turns    int
	answered int
	first    *hdrhistogram.Histogram
}

func newReport(entries []trace.Entry) *Report {
	r := &Report{
		chats:    make(map[ryeford.ChatID]chatOutcome),
		accounts: make(map[ryeford.AccountID]*accountOutcome),
		failures: make(map[string]int),
		first:    newHistogram(),
		between:  newHistogram(),
	}
	for i := range entries {
		e := &entries[i]
		if e.Kind != trace.KindTurn {
			continue
		}
		r.Turns++
		if r.accounts[e.Account] == nil {
			r.accounts[e.Account] = &accountOutcome{first: newHistogram()}
		}
	}
	return r
}

// addTurn adds the result of a turn. returning means that the chat has an earlier answered turn.
func (r *Report) addTurn(id ryeford.AccountID, answer *caller.Answer, correct, returning bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	account := r.accounts[id]
	account.turns++
	if answer.Complete && correct {
		account.answered++
		record(account.first, answer.FirstToken)
	}
	switch {
	case answer.Complete && correct:
		r.Answered++
		r.addAnswered(answer, returning)
	case answer.Complete:
		r.Wrong++
	case answer.Failure == nil:
		r.Incomplete++
	case answer.NotRun():
		r.Refused++
	default:
		r.Unknown++
	}
}

// addAnswered adds the times and the cache use of a correct answer.
func (r *Report) addAnswered(answer *caller.Answer, returning bool) {
	r.Tries += max(1, answer.Tries)
	record(r.first, answer.FirstToken)
	for _, gap := range answer.Between {
		record(r.between, gap)
	}
	if returning {
		r.Returning++
		if answer.Usage.CachedTokens > 0 {
			r.Reused++
		}
	}
}

// addFailedAttempt adds an attempt of a caller without a complete answer.
func (r *Report) addFailedAttempt(answer *caller.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	code := "broken_off"
	if answer.Failure != nil {
		code = answer.Failure.Code
	}
	r.failures[code]++
	r.FailedAttempts++
}

// addResumed adds a part of an answer that was received through another router.
func (r *Report) addResumed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Resumed++
}

// done returns the number of finished turns.
func (r *Report) done() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Answered + r.Wrong + r.Incomplete + r.Refused + r.Unknown
}

// Metrics returns the metrics that outcomes may refer to, by name.
func (r *Report) Metrics() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := map[string]float64{
		"turns":          float64(r.Turns),
		"answered":       ratio(r.Answered, r.Turns),
		"wrong":          float64(r.Wrong),
		"incomplete":     float64(r.Incomplete),
		"refused":        ratio(r.Refused, r.Turns),
		"unknown":        float64(r.Unknown),
		"reuse":          ratio(r.Reused, r.Returning),
		"resumed":        float64(r.Resumed),
		"asked_again":    float64(r.FailedAttempts),
		"ran_refused":    float64(r.RanRefused),
		"double_runs":    float64(r.DoubleRuns),
		"skew":           r.Skew,
		"admit_skew":     r.AdmitSkew,
		"admit_skew_p99": r.AdmitSkewP99,
		"peak":           float64(r.Peak),
		"tries":          ratio(r.Tries, r.Answered),
		"first_p50_ms":   float64(r.first.ValueAtQuantile(50)) / 1000,
		"first_p95_ms":   float64(r.first.ValueAtQuantile(95)) / 1000,
		"first_p99_ms":   float64(r.first.ValueAtQuantile(99)) / 1000,
		"between_p95_ms": float64(r.between.ValueAtQuantile(95)) / 1000,
	}
	for id, a := range r.accounts {
		m["answered:"+string(id)] = ratio(a.answered, a.turns)
		m["first_p95_ms:"+string(id)] = float64(a.first.ValueAtQuantile(95)) / 1000
	}
	return m
}

// ratio returns part / total, or zero if total is zero.
func ratio(part, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}

// Missed returns a description of each outcome of the trace that the report does not meet.
func (r *Report) Missed(entries []trace.Entry) []string {
	metrics := r.Metrics()
	var missed []string
	for i := range entries {
		e := &entries[i]
		if e.Kind != trace.KindOutcome {
			continue
		}
		value, ok := metrics[e.Metric]
		switch {
		case !ok:
			missed = append(missed, fmt.Sprintf("%s: no such metric", e.Metric))
		case e.Min != nil && value < *e.Min:
			missed = append(missed, fmt.Sprintf("%s is %.4g, below %.4g", e.Metric, value, *e.Min))
		case e.Max != nil && value > *e.Max:
			missed = append(missed, fmt.Sprintf("%s is %.4g, above %.4g", e.Metric, value, *e.Max))
		}
	}
	return missed
}

// Write prints the report.
func (r *Report) Write(w io.Writer) error {
	metrics := r.Metrics()
	for _, name := range slices.Sorted(maps.Keys(metrics)) {
		if _, err := fmt.Fprintf(w, "%-22s %.4g\n", name, metrics[name]); err != nil {
			return err
		}
	}
	for _, code := range slices.Sorted(maps.Keys(r.failures)) {
		if _, err := fmt.Fprintf(w, "%-22s %s=%d\n", "not answered", code, r.failures[code]); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%-22s %s\n", "took", r.Took.Round(time.Millisecond))
	return err
}
