package settings

import (
	"time"

	"github.com/ryeford/ryeford"
)

// An Agent is the settings of an agent.
type Agent struct {
	Identity `yaml:",inline"`
	// Listen is the QUIC address for routers and other agents, as in the platform's
	// list.
	Listen Address `yaml:"listen" validate:"required"`
	// Metrics is the HTTP address of /metrics and /healthz.
	Metrics    Address `yaml:"metrics" validate:"required"`
	Membership `yaml:",inline"`
	// Engines are the model engines of the VM.
	Engines []Engine `yaml:"engines" validate:"dive"`
	// Services are the plain services of the VM.
	Services []Service `yaml:"services" validate:"dive"`
	// Limits are the limits of the agent's requests, engines and memory.
	Limits AgentLimits `yaml:"limits"`
	// Polls are the intervals at which the agent reads from its engines and the platform.
	Polls AgentPolls `yaml:"polls"`
}

// An Engine is a model engine of an agent's VM.
type Engine struct {
	// ID identifies the engine in the whole fleet. Two engines with the same ID
	// share their chats and their place in the plan.
	ID ryeford.EngineID `yaml:"id" validate:"required"`
	// Address is the engine's HTTP address.
	Address Address `yaml:"address" validate:"required"`
	// ChecksFences says that the engine refuses orders of a plan older than the
	// newest one that it has received. It is logged with each order; an engine
	// without this check may still carry out an outdated order.
	ChecksFences bool `yaml:"checks_fences"`
}

// A Service is a plain service of an agent's VM.
type Service struct {
	// ID identifies the instance in the whole fleet.
	ID ryeford.EngineID `yaml:"id" validate:"required"`
	// Name is the name of the service in the path of requests.
	Name string `yaml:"name" unit:"characters" validate:"required,max=64,excludesall=/"`
	// Address is the service's HTTP address.
	Address Address `yaml:"address" validate:"required"`
}

// AgentLimits are the limits of an agent's requests, engines and memory.
type AgentLimits struct {
	// PoolFactor times the mean load of the model's engines is the highest load that
	// an engine may have. A lower factor balances the load better and makes less use
	// of cached prefixes.
	PoolFactor float64 `yaml:"pool_factor" unit:"times the mean" validate:"min=1.05,max=10"`
	// Floor is the load that an engine may always have, however low the mean load
	// is.
	Floor float64 `yaml:"floor" unit:"requests" validate:"min=1,max=1000"`
	// Capacity is the load that an engine may never exceed. If it exceeds the
	// engine's slots, requests queue in the engine.
	Capacity float64 `yaml:"capacity" unit:"requests" validate:"min=1,max=10000"`
	// ShareFrom is the part of capacity above which the shares of client accounts
	// are enforced.
	ShareFrom float64 `yaml:"share_from" unit:"part of capacity" validate:"min=0,max=1"`
	// FirstToken is how long an engine may take to send the first part of an answer
	// before the run fails as stalled.
	FirstToken time.Duration `yaml:"first_token" validate:"min=50ms,max=10m"`
	// BetweenTokens is how long an engine may take between two parts of an answer
	// before the run fails as stalled.
	BetweenTokens time.Duration `yaml:"between_tokens" validate:"min=50ms,max=10m"`
	// AnswerTTL is how long a finished answer is kept for a caller whose connection was
	// lost. It costs memory.
	AnswerTTL time.Duration `yaml:"keep" validate:"min=1s,max=1h"`
	// Grace is how long a repeatable run continues without a reader.
	Grace time.Duration `yaml:"grace" validate:"min=0,max=10m"`
	// ClockSkew is the largest allowed difference between the clocks of two VMs. If
	// they differ by more, an abandoned attempt may still run.
	ClockSkew time.Duration `yaml:"clock_skew" validate:"min=0,max=1m"`
	// Drain is how long a stopping agent waits for runs in flight.
	Drain time.Duration `yaml:"drain" validate:"min=1s,max=1h"`
	// Chats is how many chats an agent tracks for each engine. If it is less than
	// the engine's cache holds, some cached prefixes are not found.
	Chats int `yaml:"chats" unit:"chats" validate:"min=1,max=10000000"`
}

// AgentPolls are the intervals at which an agent reads from its engines and the platform.
type AgentPolls struct {
	// Engine is how often each engine's state is read. The longer, the later an
	// engine's restart and its cache evictions are noticed.
	Engine time.Duration `yaml:"engine" validate:"min=20ms,max=1m"`
	// VMList is how often the platform's list of VMs is read, to detect a planned
	// stop of the agent's VM.
	VMList time.Duration `yaml:"vms" validate:"min=50ms,max=1m"`
}

// DefaultAgent returns an Agent with the defaults of the optional settings.
func DefaultAgent() *Agent {
	return &Agent{
		Membership: Membership{Transport: defaultTransport()},
		Limits: AgentLimits{
			PoolFactor:    1.25,
			Floor:         4,
			Capacity:      64,
			ShareFrom:     0.8,
			FirstToken:    4 * time.Second,
			BetweenTokens: 2 * time.Second,
			AnswerTTL:     time.Minute,
			Grace:         15 * time.Second,
			ClockSkew:     time.Second,
			Drain:         2 * time.Minute,
			Chats:         20_000,
		},
		Polls: AgentPolls{Engine: 500 * time.Millisecond, VMList: 3 * time.Second},
	}
}
