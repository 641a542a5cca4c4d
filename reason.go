package ryeford

// A Reason is the stable code of a refusal or failure. Callers, logs and metrics all
// show the same code: a code never changes its meaning, and none is used again.
type Reason string

// The reasons of both fleets.
const (
	ReasonOverload    Reason = "overload"     // the engine or endpoint is at its load bound
	ReasonUnreachable Reason = "unreachable"  // nothing of the request could be sent
	ReasonNoCandidate Reason = "no_candidate" // no engine or endpoint is left to try
	ReasonDeadline    Reason = "deadline"     // the request's time is over
	ReasonCancelled   Reason = "cancelled"    // the caller closed the connection
	ReasonEngineLost  Reason = "engine_lost"  // the answer broke off, or none came
	ReasonEngineError Reason = "engine_error" // the engine or endpoint answered with an error
	ReasonLeaving     Reason = "leaving"      // the VM, router or endpoint is draining
	ReasonNotReady    Reason = "not_ready"    // the router has not read what it needs yet
)

// The reasons of the gateway.
const (
	ReasonStaleConfiguration Reason = "stale_configuration" // the configuration may be out of date
	ReasonKeyRevoked         Reason = "key_taken"           // the key was revoked after the request came (codes never change)
	ReasonRouteRemoved       Reason = "route_removed"       // the route was removed after the request came
	ReasonQuarantined        Reason = "quarantined"         // requests that are the same have ended what ran them
	ReasonResting            Reason = "resting"             // the endpoint has asked for rest
	ReasonEvacuated          Reason = "evacuated"           // the operators have evacuated the endpoint's failure domain
)

// The reasons of the fleet with agents.
const (
	ReasonRetryBudget      Reason = "retry_budget"      // the account's budget for retries is spent
	ReasonShare            Reason = "share"             // the account is above its share
	ReasonNotServing       Reason = "not_serving"       // the engine has not loaded the pool
	ReasonIncarnation      Reason = "incarnation"       // the agent restarted since the router dispatched
	ReasonExpired          Reason = "expired"           // the dispatch arrived after its expiry
	ReasonTombstone        Reason = "tombstone"         // the attempt was given up before it was admitted
	ReasonDuplicate        Reason = "duplicate"         // the attempt was admitted before
	ReasonRedirect         Reason = "redirect"          // another engine has the chat's prefix cached
	ReasonStoreUnavailable Reason = "store_unavailable" // the platform's table cannot be reached
	ReasonStalled          Reason = "stalled"           // the engine stopped sending
	ReasonRunning          Reason = "running"           // an earlier run of the same request may not have ended
)
