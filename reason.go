package ryeford

// A Reason is the stable code of a refusal or failure. Callers, logs and
// metrics all show the same code.
type Reason string

// The reasons.
const (
	ReasonOverload           Reason = "overload"            // the engine is at its load bound
	ReasonShare              Reason = "share"               // the account is above its share
	ReasonLeaving            Reason = "leaving"             // the VM is leaving
	ReasonNotServing         Reason = "not_serving"         // the engine has not loaded the pool
	ReasonIncarnation        Reason = "incarnation"         // the agent restarted
	ReasonExpired            Reason = "expired"             // the dispatch came too late
	ReasonTombstone          Reason = "tombstone"           // the attempt was given up on
	ReasonDuplicate          Reason = "duplicate"           // the attempt was admitted before
	ReasonRedirect           Reason = "redirect"            // another engine holds the chat's prefix
	ReasonNoCandidate        Reason = "no_candidate"        // no engine can be reached
	ReasonUnreachable        Reason = "unreachable"         // the agent can't be reached
	ReasonStoreUnavailable   Reason = "store_unavailable"   // the platform's table can't be reached
	ReasonRetryBudget        Reason = "retry_budget"        // the account spent its retries
	ReasonDeadline           Reason = "deadline"            // no time is left
	ReasonEngineLost         Reason = "engine_lost"         // the engine was lost midway
	ReasonStalled            Reason = "stalled"             // the engine stopped to send
	ReasonRunning            Reason = "running"             // the same key's first run goes on
	ReasonCancelled          Reason = "cancelled"           // the caller gave up
	ReasonEngineError        Reason = "engine_error"        // the engine reported an error
	ReasonNotReady           Reason = "not_ready"           // the router has no configuration yet
	ReasonStaleConfiguration Reason = "stale_configuration" // the configuration may be out of date
	ReasonKeyRevoked         Reason = "key_taken"           // the key was taken away meanwhile
)
