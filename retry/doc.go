// Package retry decides whether a request is sent again after a failed attempt,
// and limits the number of retries, so that they don't amplify an overload or an outage.
//
//   - Policy is the rule for one request: what the end of an attempt proves,
//     and what follows.
//   - Window is the retry budget of one service at one router of the platform;
//     ReserveDivisor and Windows divide the fleet's budget among the routers.
//   - Budget is the retry budget of one client account in the fleet with agents.
//   - Jitter and RandomBetween randomize the retry times of refused callers, and RetryAfter
//     reads the Retry-After of endpoints and engines.
//
// The package owns the counts of Window and Budget. It does no I/O and reads no clock.
package retry
