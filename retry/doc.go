// Package retry decides whether a request whose attempt failed is sent again,
// and bounds how often, so that neither a surge nor an outage multiplies itself.
//
//   - Policy is the rule for one request: what the end of an attempt proves,
//     and what follows.
//   - Window is the retry budget of one service at one router on the platform;
//     Sharers and Windows divide the fleet's budget among the routers.
//   - Budget is the retry budget of one client account in the fleet with agents.
//   - Spread and Between tell refused callers when to come back, and Rest reads when an
//     endpoint or engine that refuses wants the next request.
//
// The package owns the counts of Window and Budget. It does no I/O and relies on
// no other state: times are passed in.
package retry
