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

// The histograms hold times in microseconds up to maxMicros, longer than any turn
// takes, with significantDigits digits.
const (
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// A Report is how the turns of a trace ended.
type Report struct {
	Turns      int // of the trace
	Answered   int // whole and right
	Wrong      int // complete, but not the answer to the request
	Incomplete int // broke off without a failure
	Refused    int // failed, and provably not run
	Unknown    int // failed, and may have run
	Returning  int // answered turns of chats that were answered before
	Reused     int // of those, with their earlier prompt cached
	Resumed    int // parts of answers that were read on through another router
	AskedAgain int // attempts of callers that were not answered whole
	Tries      int // attempts of routers at engines, of answered turns
	RanRefused int // runs of chats whose every turn was refused
	DoubleRuns int // runs of turns that must not be repeated, beyond one each

	// Skew is the busiest engine's load over the mean, the highest at any time;
	// AdmitSkew that of the engine that a run is admitted at, the highest, and
	// AdmitSkewP99 its 99th percentile. They count above skewFloor only.
	Skew, AdmitSkew, AdmitSkewP99 float64
	Peak                          int // the highest load of any engine, in requests
	Took                          time.Duration

	mu       sync.Mutex
	chats    map[ryeford.ChatID]chatOutcome // by chatKey
	accounts map[ryeford.AccountID]*accountOutcome
	refusals map[string]int // by code, each time
	first    *hdrhistogram.Histogram
	between  *hdrhistogram.Histogram
}

// newHistogram returns a histogram of times in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicros, significantDigits)
}

// record adds a time to a histogram. One above maxMicros is left out.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(d.Microseconds())
}

// An accountOutcome is how an account's turns ended.
type accountOutcome struct {
	turns    int
	answered int
	first    *hdrhistogram.Histogram
}

func newReport(entries []trace.Entry) *Report {
	r := &Report{
		chats:    make(map[ryeford.ChatID]chatOutcome),
		accounts: make(map[ryeford.AccountID]*accountOutcome),
		refusals: make(map[string]int),
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

// addTurn adds how a turn of the trace ended.
func (r *Report) addTurn(id ryeford.AccountID, answer *caller.Answer, right, returning bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	account := r.accounts[id]
	account.turns++
	if answer.Complete && right {
		account.answered++
		record(account.first, answer.FirstToken)
	}
	switch {
	case answer.Complete && right:
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

// addAnswered adds the times and the reuse of a right answer.
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

// addFailedAttempt adds an attempt of a caller that was not answered whole.
func (r *Report) addFailedAttempt(answer *caller.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	code := "broken_off"
	if answer.Failure != nil {
		code = answer.Failure.Code
	}
	r.refusals[code]++
	r.AskedAgain++
}

// addResumed adds an answer that went on through another router.
func (r *Report) addResumed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Resumed++
}

// done returns how many turns have ended.
func (r *Report) done() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Answered + r.Wrong + r.Incomplete + r.Refused + r.Unknown
}

// Metrics returns the metrics that outcomes may name.
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
		"asked_again":    float64(r.AskedAgain),
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

// ratio returns part / whole, or zero if there is no whole.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Missed returns what the trace's outcomes ask for and the report misses.
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
	for _, code := range slices.Sorted(maps.Keys(r.refusals)) {
		if _, err := fmt.Fprintf(w, "%-22s %s=%d\n", "not answered", code, r.refusals[code]); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%-22s %s\n", "took", r.Took.Round(time.Millisecond))
	return err
}
