package replay

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/caller"
	"github.com/ryeford/ryeford/standin"
	"github.com/ryeford/ryeford/trace"
)

var (
	refused = &caller.Answer{Failure: &caller.Failure{Ran: caller.RunNot}}
	lost    = &caller.Answer{Failure: &caller.Failure{Ran: caller.RunUnknown}}
)

// TestMayRetry checks that a turn which may have run is retried only if it may run more than
// once or if a key prevents a second run.
func TestMayRetry(t *testing.T) {
	for _, test := range []struct {
		name   string
		turn   caller.Turn
		answer *caller.Answer
		want   bool
	}{
		{"repeatable, may have run", caller.Turn{}, lost, true},
		{"not repeatable, refused", caller.Turn{NotRepeatable: true}, refused, true},
		{"not repeatable, may have run", caller.Turn{NotRepeatable: true}, lost, false},
		{"not repeatable, truncated", caller.Turn{NotRepeatable: true}, &caller.Answer{}, false},
		{"not repeatable, may have run, with a key", caller.Turn{NotRepeatable: true, IdempotencyKey: "k"}, lost, true},
	} {
		assert.Equal(t, mayRetry(&test.turn, test.answer), test.want, test.name)
	}
}

// TestSendNotRun checks that a turn counts as not run only if every answer to it stated so. A
// turn that was refused on a retry may have run on an earlier attempt.
func TestSendNotRun(t *testing.T) {
	for _, test := range []struct {
		name string
		runs []string // Failure.Ran of each answer
		want bool
	}{
		{"refused twice", []string{caller.RunNot, caller.RunNot}, true},
		{"may have run, then refused", []string{caller.RunUnknown, caller.RunNot}, false},
		{"refused, then may have run", []string{caller.RunNot, caller.RunUnknown}, false},
	} {
		sent := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprintf(w, `{"error":{"code":"overload","message":"m","ran":%q,"retry_after_ms":1}}`, test.runs[sent])
			sent++
		}))
		router := netip.MustParseAddrPort(server.Listener.Addr().String())
		p := &player{
			options: &Options{Routers: []netip.AddrPort{router}, Retries: len(test.runs) - 1},
			client:  caller.New(),
			report:  newReport(nil),
			balance: &balancer{routers: []netip.AddrPort{router}},
		}
		_, notRun := p.send(t.Context(), &caller.Turn{})
		server.Close()
		assert.Equal(t, sent, len(test.runs), test.name)
		assert.Equal(t, notRun, test.want, test.name)
	}
}

// TestRuns checks that the report detects runs of refused turns, second runs of turns that must
// not be repeated, and engines loaded above the mean.
func TestRuns(t *testing.T) {
	at := time.Unix(0, 0)
	run := func(chat string, begin, end int) standin.RunRecord {
		return standin.RunRecord{Chat: chat, At: at.Add(time.Duration(begin)), End: at.Add(time.Duration(end))}
	}
	r := newReport(nil)
	r.addChat("a/refused", false, true)
	r.addChat("a/once", true, false)
	r.addChat("a/often", false, false)
	var first, second []standin.RunRecord
	for i := range 9 {
		first = append(first, run("a/often", i, 100))
	}
	first = append(first, run("a/refused", 200, 201))
	second = append(second, run("a/once", 10, 100), run("a/once", 210, 211))
	r.addRuns([][]standin.RunRecord{first, second}, at)
	assert.Equal(t, r.RanRefused, 1)
	assert.Equal(t, r.DoubleRuns, 1)
	assert.Equal(t, r.Peak, 9)
	assert.Equal(t, r.Skew, 9/4.5)
	assert.Equal(t, r.AdmitSkew, 9/4.5)
}

// TestRunsOfEarlierTrace checks that runs of an earlier trace, which may have used other engines,
// don't count in the loads unless they are still running.
func TestRunsOfEarlierTrace(t *testing.T) {
	began := time.Unix(0, 0)
	run := func(begin int) standin.RunRecord {
		return standin.RunRecord{At: began.Add(time.Duration(begin))}
	}
	var first, second []standin.RunRecord
	for i := range 9 { // loads 9 and 0: twice the mean
		earlier := run(i - 100)
		earlier.End = began.Add(-50)
		first = append(first, earlier)
	}
	for i := range 6 {
		first = append(first, run(i))
		second = append(second, run(i))
	}
	second = append(second, run(-1), run(50)) // loads 6 and 8
	r := newReport(nil)
	r.addRuns([][]standin.RunRecord{first, second}, began)
	assert.Equal(t, r.Peak, 8)
	assert.Equal(t, r.Skew, 8/7.)
	assert.Equal(t, r.AdmitSkew, 8/7.)
}

// TestRunsAdmitted checks that the skew of a run is evaluated at its admission, even if it arrived
// later, or at its arrival if the admission is unknown or later. Runs in transit count as load.
func TestRunsAdmitted(t *testing.T) {
	began := time.Unix(0, 0)
	at := func(ns int) time.Time { return began.Add(time.Duration(ns)) }
	runs := func(n, begin, end int) []standin.RunRecord {
		list := make([]standin.RunRecord, n)
		for i := range list {
			list[i] = standin.RunRecord{At: at(begin), End: at(end)}
		}
		return list
	}
	for _, test := range []struct {
		name  string
		late  standin.RunRecord // an additional run of the first engine
		extra []standin.RunRecord
		want  float64
	}{
		{"admitted before its arrival", standin.RunRecord{Admitted: at(10), At: at(30)}, nil, 9 / 8.5},
		{"unknown admission", standin.RunRecord{At: at(30)}, nil, 9 / 5.},
		{"admission after its arrival", standin.RunRecord{Admitted: at(40), At: at(30)}, nil, 9 / 5.},
		{"a burst in transit", standin.RunRecord{Admitted: at(10), At: at(30)},
			[]standin.RunRecord{{Admitted: at(11), At: at(50)}, {Admitted: at(12), At: at(50)}, {Admitted: at(13), At: at(50)}}, 12 / 10.},
	} {
		t.Run(test.name, func(t *testing.T) {
			first := append(runs(8, -10, 100), test.late)
			first = append(first, test.extra...)
			second := append(runs(7, -10, 20), runs(1, -10, 100)...)
			r := newReport(nil)
			r.addRuns([][]standin.RunRecord{second, first}, began)
			assert.Equal(t, r.AdmitSkew, test.want)
		})
	}
}

// TestMissed checks that Missed lists exactly the outcomes whose bounds are not met, and those of
// unknown metrics.
func TestMissed(t *testing.T) {
	low, high := 0.5, 1.5
	outcome := func(metric string, minimum, maximum *float64) trace.Entry {
		return trace.Entry{Kind: trace.KindOutcome, Metric: metric, Min: minimum, Max: maximum}
	}
	r := newReport([]trace.Entry{{Kind: trace.KindTurn, Account: "a"}})
	r.addTurn("a", &caller.Answer{Complete: true}, true, false)
	for _, test := range []struct {
		name    string
		outcome trace.Entry
		want    []string
	}{
		{"within its bounds", outcome("answered", &low, &high), nil},
		{"below its minimum", outcome("answered", &high, nil), []string{"answered is 1, below 1.5"}},
		{"above its maximum", outcome("answered", nil, &low), []string{"answered is 1, above 0.5"}},
		{"unknown metric", outcome("speed", &low, nil), []string{"speed: no such metric"}},
		{"metric of one account", outcome("answered:a", &low, nil), nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.DeepEqual(t, r.Missed([]trace.Entry{test.outcome}), test.want)
		})
	}
}
