package peers

import (
	"time"

	"github.com/ryeford/ryeford/gateway/quarantine"
)

// MaxQuarantined is the maximum number of records of poison requests in a message. Each takes
// some 60 bytes, which TestQuarantinedInMessage checks.
const MaxQuarantined = 6

// MaxEnded is the maximum number of crashes of endpoints in a message.
const MaxEnded = 16

// A Quarantined is the message form of a quarantine.Record. Times are sent as ages, and are nil if the
// record has none.
type Quarantined struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint quarantine.Fingerprint
	Account     uint32
	Crashes     []Crash
	LastSuccess *Age
	HeldSince   *Age
	Trials      int
	LastTrial   *Age
}

// A Crash is the message form of a quarantine.Crash.
type Crash struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint32
	Began    Age
	Ended    Age
}

// EncodeRecords returns the message form of records, with ages relative to now.
func EncodeRecords(now time.Time, records []quarantine.Record) []Quarantined {
	var result []Quarantined
	for i := range records {
		record := &records[i]
		q := Quarantined{
			Fingerprint: record.Fingerprint, Account: record.Account, Trials: record.Trials,
			LastSuccess: ageAt(now, record.LastSuccess), HeldSince: ageAt(now, record.HeldSince), LastTrial: ageAt(now, record.LastTrial),
		}
		for _, crash := range record.Crashes {
			q.Crashes = append(q.Crashes, Crash{Endpoint: crash.Endpoint, Began: AgeOf(now.Sub(crash.Began)), Ended: AgeOf(now.Sub(crash.Ended))})
		}
		result = append(result, q)
	}
	return result
}

// DecodeRecords returns the records of a message received at now. Entries beyond the limits of a
// message are dropped.
func DecodeRecords(now time.Time, received []Quarantined) []quarantine.Record {
	var result []quarantine.Record
	for i := range received[:min(len(received), MaxQuarantined)] {
		q := &received[i]
		record := quarantine.Record{
			Fingerprint: q.Fingerprint, Account: q.Account, Trials: q.Trials,
			LastSuccess: timeOf(now, q.LastSuccess), HeldSince: timeOf(now, q.HeldSince), LastTrial: timeOf(now, q.LastTrial),
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

// EncodeEndings returns the message form of crashes of endpoints, with ages relative to now.
func EncodeEndings(now time.Time, endings []quarantine.Ending) []Ended {
	var result []Ended
	for _, ending := range endings {
		result = append(result, Ended{Endpoint: ending.Endpoint, At: AgeOf(now.Sub(ending.At))})
	}
	return result
}

// DecodeEndings returns the crashes of endpoints of a message received at now. Entries beyond the limit of a message are
// dropped.
func DecodeEndings(now time.Time, received []Ended) []quarantine.Ending {
	var result []quarantine.Ending
	for _, ended := range received[:min(len(received), MaxEnded)] {
		result = append(result, quarantine.Ending{Endpoint: ended.Endpoint, At: now.Add(-ended.At.Duration())})
	}
	return result
}

// ageAt returns the age of t at now, or nil if t is zero.
func ageAt(now, t time.Time) *Age {
	if t.IsZero() {
		return nil
	}
	age := AgeOf(now.Sub(t))
	return &age
}

// timeOf returns the time that was age before now, or the zero time if age is nil.
func timeOf(now time.Time, age *Age) time.Time {
	if age == nil {
		return time.Time{}
	}
	return now.Add(-age.Duration())
}
