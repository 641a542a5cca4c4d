// Package quarantine detects poison requests, which crash the endpoints that run them, and holds them: they
// are no longer sent to any endpoint.
//
// Rule: requests with the same Fingerprint are held once crashesToHold endpoints have crashed one after the
// other while running them, or totalCrashesToHold endpoints of which minSuccessiveCrashes crashed one after the
// other, without a success since. Crashes are successive if the later attempt began after the earlier
// endpoint had ended. One success of such a request, at any router, ends the quarantine.
//
// Why: a crash of an engine ends all its streams, and callers that retry a poison request crash one engine
// after the other. The requests that run beside it are lost too, so that a few crashes don't identify it.
// Simultaneous crashes, such as those of a failure domain, count as one.
//
// A held request is tried again, one attempt at a time in the whole fleet: trialDelay after it was held, and
// once more after a longer delay, since the engine may have been fixed. Callers get this time as their retry delay.
//
// Routers send each other crashes, successes and held requests, and each router applies the rule itself. The
// package does no I/O and reads no clock.
package quarantine
