package quarantine

import "time"

const (
	// trialDelay is the time from the hold to the first trial. trialDelayFactor is the factor by which the
	// delay grows after each unsuccessful trial. Each may crash an engine, and a fix takes minutes to roll out.
	trialDelay       = 10 * time.Minute
	trialDelayFactor = 6
	// partTrialDelay is the time from the hold of a prompt part to its first trial. Many sound requests may have the
	// part if it is not the cause, and a success ends the hold.
	partTrialDelay = time.Second
	// maxTrials is the maximum number of trials of held requests. Together with an attempt that is in
	// flight at the hold, at most three endpoints crash after it.
	maxTrials = 2
	// trialDuration is the time that a trial may take. It is the retry delay of callers while a trial is due
	// that this router may not start.
	trialDuration = time.Minute
	// partTrialDuration is trialDuration for a prompt part, and also the retry delay while its first trial may be under
	// way.
	partTrialDuration = 10 * time.Second
)

// trialDue returns when the next trial of a held request is due, and false if there are no more trials.
func (r *Record) trialDue() (time.Time, bool) {
	if r.Trials >= maxTrials {
		return time.Time{}, false
	}
	if r.Fingerprint.IsPart() {
		return r.partTrialDue(), true
	}
	since, wait := r.HeldSince, trialDelay
	for range r.Trials {
		since, wait = r.LastTrial, wait*trialDelayFactor
	}
	return since.Add(wait), true
}

// partTrialDue returns when the next trial of a held prompt part is due.
func (r *Record) partTrialDue() time.Time {
	if r.Trials == 0 {
		return r.HeldSince.Add(partTrialDelay)
	}
	return r.LastTrial.Add(trialDelay)
}

// retryAfter returns when callers of a held request may retry, and whether a trial is due.
func (r *Record) retryAfter(now time.Time) (after time.Duration, due bool) {
	next, possible := r.trialDue()
	duration := trialDuration
	if r.Fingerprint.IsPart() {
		duration = partTrialDuration
		if r.Trials == 1 && now.Before(r.LastTrial.Add(duration)) {
			return duration, false
		}
	}
	switch {
	case !possible:
		return r.expires().Sub(now), false
	case now.Before(next):
		return next.Sub(now), false
	}
	return duration, true
}
