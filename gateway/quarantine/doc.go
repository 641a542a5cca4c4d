// Package quarantine detects what crashes the endpoints that run it, and holds it: requests with it are no longer sent
// to any endpoint. That may be a poison request, which callers repeat, or a poison part of prompts, which many
// requests share.
//
// Rule: requests with the same Fingerprint are held once crashesToHold endpoints have crashed one after the
// other while running them, or totalCrashesToHold endpoints of which minSuccessiveCrashes crashed one after the
// other, without a success since. Crashes are successive if the later attempt began after the earlier
// endpoint had ended. One success of such a request, at any router, ends the quarantine. Other held fingerprints that a
// request lacks may explain the crashes: then it is sent (blame.go).
//
// Why: a crash of an engine ends all its streams, and callers crash one engine after the other. The requests that run
// beside it are lost too, so that a few crashes don't identify the cause. Simultaneous crashes, such as those of a
// failure domain, count as one.
//
// A held request is tried again, one attempt at a time in the whole fleet, since the engine may have been fixed, or the
// hold wrong (trial.go). Callers get this time as their retry delay.
//
// Routers send each other crashes, successes and held requests, and each router applies the rule itself. The
// package does no I/O and reads no clock.
package quarantine
