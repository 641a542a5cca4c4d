package peers

import (
	"time"

	"github.com/ryeford/ryeford/gateway/quarantine"
)

// MaxQuarantined is how many records of requests that end endpoints a message holds, of some 60 bytes
// each (TestQuarantinedInMessage).
const MaxQuarantined = 6

// A Quarantined is a quarantine.Record as it was when it was sent: moments are ages, and moments
// that a record lacks are nil.
type Quarantined struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint quarantine.Fingerprint
	Account     uint32
	Crashes     []Crash
	Answered    *Age
	Held        *Age
	Trials      int
	Tried       *Age
}

// A Crash is a quarantine.Crash.
type Crash struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint32
	Began    Age
	Ended    Age
}

// QuarantinedOf returns records as a message holds them that is sent now.
func QuarantinedOf(now time.Time, records []quarantine.Record) []Quarantined {
	var result []Quarantined
	for i := range records {
		record := &records[i]
		q := Quarantined{
			Fingerprint: record.Fingerprint, Account: record.Account, Trials: record.Trials,
			Answered: ageAt(now, record.Answered), Held: ageAt(now, record.Held), Tried: ageAt(now, record.Tried),
		}
		for _, crash := range record.Crashes {
			q.Crashes = append(q.Crashes, Crash{Endpoint: crash.Endpoint, Began: AgeOf(now.Sub(crash.Began)), Ended: AgeOf(now.Sub(crash.Ended))})
		}
		result = append(result, q)
	}
	return result
}

// Records returns the records of a message that came now. What is beyond the bounds of a message is
// left out.
func Records(now time.Time, received []Quarantined) []quarantine.Record {
	var result []quarantine.Record
	for i := range received[:min(len(received), MaxQuarantined)] {
		q := &received[i]
		record := quarantine.Record{
			Fingerprint: q.Fingerprint, Account: q.Account, Trials: q.Trials,
			Answered: momentOf(now, q.Answered), Held: momentOf(now, q.Held), Tried: momentOf(now, q.Tried),
		}
		for _, crash := range q.Crashes[:min(len(q.Crashes), quarantine.MaxCrashes)] {
			record.Crashes = append(record.Crashes, quarantine.Crash{
				Endpoint: crash.Endpoint, Began: now.Add(-crash.Began.Duration()), Ended: now.Add(-crash.Ended.Duration()),
			})
		}
		result = append(result, record)
	}
	return result
}

// ageAt returns the age of a moment, or nil for none.
func ageAt(now, moment time.Time) *Age {
	if moment.IsZero() {
		return nil
	}
	age := AgeOf(now.Sub(moment))
	return &age
}

// momentOf returns the moment of an age; none for nil.
func momentOf(now time.Time, age *Age) time.Time {
	if age == nil {
		return time.Time{}
	}
	return now.Add(-age.Duration())
}
