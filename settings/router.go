package settings

import "time"

// A Router is the settings of a router of the fleet with agents.
type Router struct {
	Identity `yaml:",inline"`
	// Callers is the HTTP address for callers and for the load balancer's probes.
	Callers Address `yaml:"callers" validate:"required"`
	// Operators is the HTTP address for operators.
	Operators Address `yaml:"operators" validate:"required"`
	// OperatorKey is the bearer token of the operators. It is never logged. If
	// routers have different tokens, an operator's command succeeds at some of them
	// only.
	OperatorKey string `yaml:"operator_key" unit:"characters" validate:"required,min=8"`
	Membership  `yaml:",inline"`
	// Limits are the limits of the router's requests.
	Limits RouterLimits `yaml:"limits"`
	// Polls are the intervals at which the router reads from the platform.
	Polls RouterPolls `yaml:"polls"`
	// Planner is the settings of how the router places models on engines.
	Planner Planner `yaml:"planner"`
}

// RouterLimits are the limits of a router's requests.
type RouterLimits struct {
	// MaxBody is the size of the largest request body; a larger one is refused with
	// 413.
	MaxBody int `yaml:"max_body" unit:"bytes" validate:"min=1024,max=67108864"`
	// DefaultDeadline is how long a request may take if its caller gives no
	// deadline.
	DefaultDeadline time.Duration `yaml:"default_deadline" validate:"min=100ms,max=1h"`
	// FirstToken is how long the router waits for the first part of an answer before
	// it retries a repeatable request at another engine. It should exceed the
	// agents' first_token; otherwise the router gives up before the agent reports
	// the cause.
	FirstToken time.Duration `yaml:"first_token" validate:"min=50ms,max=10m"`
	// BetweenTokens is how long the router waits between two parts of an answer
	// before it does the same.
	BetweenTokens time.Duration `yaml:"between_tokens" validate:"min=50ms,max=10m"`
	// Candidates is how many engines, in the chat's rendezvous order, one request
	// may be sent to. With fewer, more requests are refused in an overload; with
	// more, less use is made of cached prefixes.
	Candidates int `yaml:"candidates" unit:"engines" validate:"min=1,max=8"`
	// OverflowPerAnswer is how many further attempts after refusals each answered
	// request adds to the budget of its client account.
	OverflowPerAnswer float64 `yaml:"overflow_per_answer" unit:"attempts an answer" validate:"min=0,max=8"`
	// OverflowReserve is how many such attempts an account starts with, and the most
	// that its budget can hold.
	OverflowReserve float64 `yaml:"overflow_reserve" unit:"attempts" validate:"min=0,max=100000"`
	// RetryPerAnswer is how many further attempts after failures each answered
	// request adds to the budget of its client account. If it is too high, retries
	// multiply the load of an outage.
	RetryPerAnswer float64 `yaml:"retry_per_answer" unit:"attempts an answer" validate:"min=0,max=1"`
	// RetryReserve is how many such attempts an account starts with, and the most
	// that its budget can hold.
	RetryReserve float64 `yaml:"retry_reserve" unit:"attempts" validate:"min=0,max=10000"`
	// ClaimTTL is how long the answer to an idempotency key can be found. A request
	// that uses the key again after that may run a second time.
	ClaimTTL time.Duration `yaml:"claim_ttl" validate:"min=1s,max=24h"`
	// Dispatch is how long an attempt may take to be admitted or refused; an agent
	// never starts it after that.
	Dispatch time.Duration `yaml:"dispatch" validate:"min=50ms,max=30s"`
	// WarmWait is how long a request may wait at an engine that probably has its
	// chat's prefix cached, before it is sent to another engine.
	WarmWait time.Duration `yaml:"warm_wait" validate:"min=0,max=5s"`
	// LeaveNotice is how long a stopping router still accepts requests after it has
	// become unready. If it is shorter than the load balancer takes to notice,
	// callers' connections are refused.
	LeaveNotice time.Duration `yaml:"leave_notice" validate:"min=0,max=5m"`
	// Drain is how long a stopping router waits for requests in flight.
	Drain time.Duration `yaml:"drain" validate:"min=1s,max=1h"`
}

// RouterPolls are the intervals at which a router reads from the platform. With
// shorter ones, changes come into force sooner and the platform is read more often.
type RouterPolls struct {
	// VMList is how often the list of VMs is read.
	VMList time.Duration `yaml:"vms" validate:"min=50ms,max=1m"`
	// Templates is how often the table is read for changes of templates that no
	// other router has reported.
	Templates time.Duration `yaml:"templates" validate:"min=50ms,max=1m"`
}

// A Planner is the settings of placement, which assigns models to engines. One router
// at a time, the holder of a lease, plans for the fleet.
type Planner struct {
	// Enabled allows the router to plan. If no router may, engines keep the models
	// that they have loaded.
	Enabled bool `yaml:"enabled"`
	// Interval is how often a router tries to take the lease and to plan.
	Interval time.Duration `yaml:"interval" validate:"min=100ms,max=10m"`
	// Lease is the duration of the lease: after the loss of the planning router, no
	// router plans for that long. It must exceed interval, or the lease expires
	// between plans.
	Lease time.Duration `yaml:"lease" validate:"min=500ms,max=10m"`
	// LostAgentTimeout is how long the engines of a lost VM keep their place in the plan,
	// so that no model is moved if the VM is back soon.
	LostAgentTimeout time.Duration `yaml:"patience" validate:"min=0,max=1h"`
	// LoadTime is how long the weight store takes to load one model. If it is too
	// short, engines are still loading when their event begins.
	LoadTime time.Duration `yaml:"load_time" validate:"min=1ms,max=1h"`
	// ParallelLoads is how many loads the weight store serves at once.
	ParallelLoads int `yaml:"parallel_loads" unit:"loads" validate:"min=1,max=10000"`
	// WarmUpLead is how long before the start of an event its engines must be warm.
	WarmUpLead time.Duration `yaml:"ahead" validate:"min=0,max=1h"`
}

// DefaultRouter returns a Router with the defaults of the optional settings.
func DefaultRouter() *Router {
	return &Router{
		Membership: Membership{Transport: defaultTransport()},
		Limits: RouterLimits{
			MaxBody:           4 << 20,
			DefaultDeadline:   60 * time.Second,
			FirstToken:        5 * time.Second,
			BetweenTokens:     3 * time.Second,
			Candidates:        6,
			OverflowPerAnswer: 2,
			OverflowReserve:   256,
			RetryPerAnswer:    0.1,
			RetryReserve:      16,
			ClaimTTL:          10 * time.Minute,
			Dispatch:          2 * time.Second,
			WarmWait:          100 * time.Millisecond,
			LeaveNotice:       2 * time.Second,
			Drain:             2 * time.Minute,
		},
		Polls: RouterPolls{VMList: 2 * time.Second, Templates: 3 * time.Second},
		Planner: Planner{
			Enabled:          true,
			Interval:         2 * time.Second,
			Lease:            10 * time.Second,
			LostAgentTimeout: 30 * time.Second,
			LoadTime:         20 * time.Second,
			ParallelLoads:    4,
			WarmUpLead:       30 * time.Second,
		},
	}
}
