// Package quarantine decides which requests are sent to no endpoint any more, since they end what
// runs them.
//
// Rule: a request that is the same as earlier ones but for its ID (a Fingerprint) is held once
// crashesToHold endpoints have ended, one after the other, while they ran such a request, or manyCrashes
// of which only fewCrashes followed each other, and none was answered since. An attempt follows
// another one if it began after the endpoint of that one had ended. A single success of such a
// request, at any router, ends it.
//
// Why: an engine that crashes takes all its streams with it, and is away for seconds; a request that is
// sent again and again as its callers repeat it takes engine after engine. What runs beside it on
// an engine breaks off as well, so that two ends prove little: on a day of 35 ends one of 156
// bystanders ran on two endpoints that ended, none on three, and requests that are popular are
// answered well in between. Ends at the same moment, as of a failure domain, count as one.
//
// A held request is tried again, one attempt at a time in the whole fleet: trialAfter after
// it was held, and once more after a longer time, since an engine may have been mended. What callers
// are told is when that is.
//
// Routers send each other ends, successes and what is held; each counts for itself. The package does
// no I/O and reads no clock.
package quarantine
