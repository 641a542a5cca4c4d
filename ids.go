package ryeford

// An AccountID identifies a client account.
type AccountID string

// A ChatID identifies a chat within its client account.
type ChatID string

// A RequestID identifies one request. In the fleet with agents, the router that receives the
// request generates it. On the platform the caller does, with a new ID for each of its
// retries.
type RequestID string

// An AttemptID identifies one attempt to run a request on an engine. An engine runs an
// attempt at most once.
type AttemptID string

// A VMID identifies a VM of the fleet.
type VMID string

// An EngineID identifies an engine or a plain service that runs beside an agent.
type EngineID string

// An Incarnation identifies one run of an agent process. It changes at each start.
type Incarnation string
