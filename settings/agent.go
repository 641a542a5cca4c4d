package settings

import (
	"time"

	"github.com/ryeford/ryeford"
)

// An Agent is the settings of an agent.
type Agent struct {
	Identity `yaml:",inline"`
	// Listen is the QUIC address for routers and other agents, as the platform's
	// list has it.
	Listen Address `yaml:"listen" validate:"required"`
	// Metrics is the HTTP address of /metrics and /healthz.
	Metrics    Address `yaml:"metrics" validate:"required"`
	Membership `yaml:",inline"`
	// Engines are the model engines of the VM.
	Engines []Engine `yaml:"engines" validate:"dive"`
	// Services are the plain services of the VM.
	Services []Service `yaml:"services" validate:"dive"`
	// Limits limit what the agent admits and keeps.
	Limits AgentLimits `yaml:"limits"`
	// Polls are the intervals at which the agent reads from its engines and the platform.
	Polls AgentPolls `yaml:"polls"`
}

// An Engine is a model engine of an agent's VM.
type Engine struct {
	// ID names the engine in the whole fleet. Two engines with one id share its
	// chats and its place in the plan.
	ID ryeford.EngineID `yaml:"id" validate:"required"`
	// Address is the engine's HTTP address.
	Address Address `yaml:"address" validate:"required"`
	// ChecksFences says that the engine refuses an order of an older plan than the
	// newest it has seen. It is logged with each order; an engine without this
	// check may still carry out an old one.
	ChecksFences bool `yaml:"checks_fences"`
}

// A Service is a plain service of an agent's VM.
type Service struct {
	// ID names the instance in the whole fleet.
	ID ryeford.EngineID `yaml:"id" validate:"required"`
	// Name is the service's name, as callers give it in the path.
	Name string `yaml:"name" unit:"characters" validate:"required,max=64,excludesall=/"`
	// Address is the service's HTTP address.
	Address Address `yaml:"address" validate:"required"`
}

// AgentLimits limit what an agent admits and keeps.
type AgentLimits struct {
	// PoolFactor times the mean load of the model's engines is the load that an
	// engine may have. A smaller one evens the load and costs cached prefixes.
	PoolFactor float64 `yaml:"pool_factor" unit:"times the mean" validate:"min=1.05,max=10"`
	// Floor is the load that an engine may have, however low the mean.
	Floor float64 `yaml:"floor" unit:"requests" validate:"min=1,max=1000"`
	// Capacity is the load that an engine may never exceed. If it exceeds the
	// engine's slots, requests queue in the engine.
	Capacity float64 `yaml:"capacity" unit:"requests" validate:"min=1,max=10000"`
	// ShareFrom is the part of capacity above which the shares of client accounts
	// are enforced.
	ShareFrom float64 `yaml:"share_from" unit:"part of capacity" validate:"min=0,max=1"`
	// FirstToken is how long an engine may take to the first part of an answer;
	// then the run fails as stalled.
	FirstToken time.Duration `yaml:"first_token" validate:"min=50ms,max=10m"`
	// BetweenTokens is the same between two parts of an answer.
	BetweenTokens time.Duration `yaml:"between_tokens" validate:"min=50ms,max=10m"`
	// Keep is how long a finished answer can still be read by a caller whose
	// connection was lost. It costs memory.
	Keep time.Duration `yaml:"keep" validate:"min=1s,max=1h"`
	// Grace is how long a repeatable run goes on without a reader.
	Grace time.Duration `yaml:"grace" validate:"min=0,max=10m"`
	// ClockSkew is by how much the clocks of two VMs may differ. If they differ by
	// more, an attempt that was given up may still run.
	ClockSkew time.Duration `yaml:"clock_skew" validate:"min=0,max=1m"`
	// Drain is how long a stopping agent waits for runs in flight.
	Drain time.Duration `yaml:"drain" validate:"min=1s,max=1h"`
	// Chats is how many chats an agent remembers for each engine. If it is less
	// than the engine's cache holds, cached prefixes are not found.
	Chats int `yaml:"chats" unit:"chats" validate:"min=1,max=10000000"`
}

// AgentPolls are the intervals at which an agent reads from its engines and the platform.
type AgentPolls struct {
	// Engine is how often each engine's state is read. The longer, the later an
	// engine's restart and its evictions are noticed.
	Engine time.Duration `yaml:"engine" validate:"min=20ms,max=1m"`
	// VMList is how often the platform's list of VMs is read, for a planned stop of
	// the agent's own VM.
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
			Keep:          time.Minute,
			Grace:         15 * time.Second,
			ClockSkew:     time.Second,
			Drain:         2 * time.Minute,
			Chats:         20_000,
		},
		Polls: AgentPolls{Engine: 500 * time.Millisecond, VMList: 3 * time.Second},
	}
}
