package ryeford

// An AccountID names a client account.
type AccountID string

// A ChatID names a chat within its client account.
type ChatID string

// A RequestID names one request. In the fleet with agents the router that received
// the request chooses it. On the platform the caller does, anew for each of its own
// retries.
type RequestID string

// An AttemptID names one attempt to run a request on an engine. An engine runs an
// attempt at most once.
type AttemptID string

// A VMID names a VM of the fleet.
type VMID string

// An EngineID names an engine or a plain service that runs beside an agent.
type EngineID string

// An Incarnation names one life of an agent process. It changes at each start.
type Incarnation string
