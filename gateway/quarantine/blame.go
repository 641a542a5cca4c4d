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
		if e := t.records[fingerprint]; e != nil && !e.HeldSince.IsZero() && e.appliesTo(s.Account) {
			result = append(result, e)
		}
	}
	if len(result) == 0 {
		return nil
	}
	others := t.heldWithout(s)
	return slices.DeleteFunc(result, func(e *entry) bool { return e.explainedBy(others) })
}

// heldWithout returns the held records whose fingerprints a subject doesn't contain. t.mu is held.
func (t *Table) heldWithout(s *Subject) []*entry {
	var result []*entry
	for fingerprint, e := range t.records {
		if !e.HeldSince.IsZero() && !slices.Contains(s.Fingerprints, fingerprint) {
			result = append(result, e)
		}
	}
	return result
}

// appliesTo reports whether the record concerns requests of an account.
func (r *Record) appliesTo(account uint32) bool {
	return !r.Fingerprint.IsPart() || r.Account == anyAccount || r.Account == account
}

// explainedBy reports whether other held records explain why requests of the held record r crashed endpoints. It is
// false if r has no crashes, because it was read from the store.
func (r *Record) explainedBy(others []*entry) bool {
	if len(r.Crashes) == 0 {
		return false
	}
	var unexplained []Crash
	for _, crash := range r.Crashes {
		explains := func(other *entry) bool { return other.explains(crash, r) }
		if !slices.ContainsFunc(others, explains) {
			unexplained = append(unexplained, crash)
		}
	}
	return countSuccessive(unexplained) < unexplainedToHold
}

// explains reports whether r is the likelier cause of a crash of another record.
func (r *Record) explains(crash Crash, other *Record) bool {
	if r.unlisted(crash) {
		return true
	}
	return slices.ContainsFunc(r.Crashes, func(own Crash) bool {
		return own.sameAttempt(crash) || own.same(crash) && r.precedes(other)
	})
}

// unlisted reports whether r has so many crashes that it does not list all from its first to its last one, and a crash
// lies between these.
func (r *Record) unlisted(crash Crash) bool {
	return len(r.Crashes) >= MaxCrashes && !crash.Ended.Before(r.Crashes[0].Ended) && !crash.Ended.After(r.lastCrash())
}

// precedes reports whether r is the likelier cause of crashes that both records have. Between records with as many
// crashes, requests with only one of the fingerprints decide, up to a limited number of crashes.
func (r *Record) precedes(other *Record) bool {
	n := len(other.Crashes)
	return len(r.Crashes) > n || len(r.Crashes) == n && n < totalCrashesToHold
}

// sameAttempt reports whether c and other were charged for the same attempt.
func (c Crash) sameAttempt(other Crash) bool {
	return c.Endpoint == other.Endpoint && c.Began.Sub(other.Began).Abs() <= attemptTolerance
}
