package quarantine

import (
	"slices"
	"time"
)

const (
	// unexplainedToHold is the number of successive crashes that no other held fingerprint explains, from which a held
	// fingerprint applies to a request. A single one may have another cause.
	unexplainedToHold = 2
	// attemptTolerance is the maximum difference between the starts of one attempt in two records: the transmission
	// times of the messages that contained them differ.
	attemptTolerance = 50 * time.Millisecond
)

// A Subject is a request as the table sees it.
type Subject struct {
	Account uint32 // the low half of route.NameHash of the client account
	// Fingerprints are the possible causes of crashes that the request contains.
	Fingerprints []Fingerprint
}

// blockers returns the held records that apply to a subject. t.mu is held.
func (t *Table) blockers(s *Subject) []*entry {
	var result []*entry
	for _, fingerprint := range s.Fingerprints {
		if e := t.records[fingerprint]; e != nil && e.appliesTo(s.Account) && t.holds(e) {
			result = append(result, e)
		}
	}
	if len(result) == 0 {
		return nil
	}
	others := t.explanations(s)
	return slices.DeleteFunc(result, func(e *entry) bool { return t.explained(e, others) })
}

// holds reports whether a record is held, not counting crashes of endpoints that crashed together with others. t.mu is
// held.
func (t *Table) holds(e *entry) bool { return !e.HeldSince.IsZero() && !t.explained(e, nil) }

// An explanation is a held record that may explain crashes of others: its crashes that did not come together with
// others.
type explanation []Crash

// explanations returns the held records whose fingerprints a subject doesn't contain. t.mu is held.
func (t *Table) explanations(s *Subject) []explanation {
	var result []explanation
	for fingerprint, e := range t.records {
		if !e.HeldSince.IsZero() && !slices.Contains(s.Fingerprints, fingerprint) {
			result = append(result, t.evidence(e))
		}
	}
	return result
}

// appliesTo reports whether the record concerns requests of an account.
func (r *Record) appliesTo(account uint32) bool {
	return !r.Fingerprint.IsPart() || r.Account == anyAccount || r.Account == account
}

// explained reports whether other held records, or crashes of other endpoints at the same time, explain why requests
// with a held part crashed endpoints. It is false if the record has no crashes, because it was read from the store, and
// for requests that are the same: few of these run beside a cause three times. t.mu is held.
func (t *Table) explained(e *entry, others []explanation) bool {
	if len(e.Crashes) == 0 || !e.Fingerprint.IsPart() {
		return false
	}
	crashes := t.evidence(e)
	var unexplained []Crash
	for _, crash := range crashes {
		explains := func(other explanation) bool { return other.explains(crash, len(crashes)) }
		if !slices.ContainsFunc(others, explains) {
			unexplained = append(unexplained, crash)
		}
	}
	return countSuccessive(unexplained) < unexplainedToHold
}

// evidence returns the crashes of a record that count. t.mu is held.
func (t *Table) evidence(e *entry) []Crash {
	if !e.Fingerprint.IsPart() {
		return e.Crashes
	}
	return t.ungrouped(e)
}

// explains reports whether a held record is the likelier cause of a crash of another one that has n crashes.
func (x explanation) explains(crash Crash, n int) bool {
	if unlisted(x, crash.Ended) {
		return true
	}
	return slices.ContainsFunc(x, func(own Crash) bool {
		return own.sameAttempt(crash) || own.same(crash) && x.precedes(n)
	})
}

// precedes reports whether a held record is the likelier cause than one with n crashes. Between records with as many
// crashes, requests with only one of the fingerprints decide, up to a limited number of crashes.
func (x explanation) precedes(n int) bool {
	return len(x) > n || len(x) == n && n < totalCrashesToHold
}

// unlisted reports whether a time is between the first and the last of so many crashes that these are not all.
func unlisted(crashes []Crash, at time.Time) bool {
	return len(crashes) >= MaxCrashes && !at.Before(crashes[0].Ended) && !at.After(crashes[len(crashes)-1].Ended)
}

// sameAttempt reports whether c and other were charged for the same attempt.
func (c Crash) sameAttempt(other Crash) bool {
	return c.Endpoint == other.Endpoint && c.Began.Sub(other.Began).Abs() <= attemptTolerance
}
