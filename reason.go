package ryeford

// A Reason is the code of a refusal or failure, in responses, logs and metrics. Codes are
// stable: a code never changes its meaning, and the code of a removed reason is not reused.
type Reason string

// The reasons of both fleets.
const (
	ReasonOverload    Reason = "overload"     // the engine or endpoint is at its load limit
	ReasonUnreachable Reason = "unreachable"  // no part of the request could be sent
	ReasonNoCandidate Reason = "no_candidate" // no engine or endpoint is left to try
	ReasonDeadline    Reason = "deadline"     // the request's deadline has passed
	ReasonCancelled   Reason = "cancelled"    // the caller closed the connection
	ReasonEngineLost  Reason = "engine_lost"  // there was no answer, or it was truncated
	ReasonEngineError Reason = "engine_error" // the engine or endpoint answered with an error
	ReasonLeaving     Reason = "leaving"      // the VM, router or endpoint is draining
	ReasonNotReady    Reason = "not_ready"    // the router has not yet loaded the state that it needs
)

// The reasons of the gateway.
const (
	ReasonStaleConfiguration Reason = "stale_configuration" // the configuration may be out of date
	ReasonKeyRevoked         Reason = "key_taken"           // the key was revoked after the request arrived
	ReasonRouteRemoved       Reason = "route_removed"       // the route was removed after the request arrived
	ReasonQuarantined        Reason = "quarantined"         // identical requests have crashed the endpoints that ran them
	ReasonBackingOff         Reason = "resting"             // the endpoint has asked for no requests for a time
	ReasonEvacuated          Reason = "evacuated"           // the operators have evacuated the endpoint's failure domain
	ReasonVersionUnknown     Reason = "version_unknown"     // which software version began the stream is unknown
	ReasonVersionUnavailable Reason = "version_unavailable" // no endpoint of the software version that began the stream can continue it
)

// The reasons of the fleet with agents.
const (
	ReasonRetryBudget      Reason = "retry_budget"      // the account's retry budget is exhausted
	ReasonShare            Reason = "share"             // the account exceeds its share of the fleet
	ReasonNotServing       Reason = "not_serving"       // the engine has not loaded the pool
	ReasonIncarnation      Reason = "incarnation"       // the agent has restarted since the router's dispatch
	ReasonExpired          Reason = "expired"           // the dispatch arrived after its expiry
	ReasonTombstone        Reason = "tombstone"         // the attempt was abandoned before it was admitted
	ReasonDuplicate        Reason = "duplicate"         // the attempt was already admitted
	ReasonRedirect         Reason = "redirect"          // another engine has the chat's prefix cached
	ReasonStoreUnavailable Reason = "store_unavailable" // the platform's table service is unavailable
	ReasonStalled          Reason = "stalled"           // the engine stopped sending
	ReasonRunning          Reason = "running"           // an earlier run of the same request may still be running
)
