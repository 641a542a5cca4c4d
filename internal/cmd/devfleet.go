package cmd

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/netip"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/agent"
	"github.com/ryeford/ryeford/agentfleet/router"
	"github.com/ryeford/ryeford/agentfleet/tableservice"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/internal/freeport"
	"github.com/ryeford/ryeford/settings"
	"github.com/ryeford/ryeford/standin"
)

// The operator key, service, and numbers of agents and engines of a dev fleet.
const (
	devOperatorKey = "dev-operator-key"
	devService     = "notes"
	devAgents      = 3
	devEngines     = 2 // per agent
)

// A devFleet is the settings of a dev fleet, on free loopback ports.
type devFleet struct {
	router  *settings.Router
	agents  []*settings.Agent
	standin *settings.Standin
	logger  log.Logger
}

func newDevFleet(callers, operators netip.AddrPort) *devFleet {
	f := &devFleet{
		logger: log.NewNopLogger(),
		standin: &settings.Standin{
			Platform: &settings.StandinPlatform{Address: freeAddress()},
		},
	}
	f.router = settings.DefaultRouter()
	f.router.VM = "router-1"
	f.router.Region, f.router.FailureDomain = "region-1", "domain-1"
	f.router.Callers.AddrPort = callers
	f.router.Operators.AddrPort = operators
	f.router.OperatorKey = devOperatorKey
	f.router.Platform = f.standin.Platform.Address
	f.router.Limits.LeaveNotice = 0
	for i := range devAgents {
		f.addAgent(i + 1)
	}
	return f
}

// addAgent adds an agent with its engines; the first one also has a service.
func (f *devFleet) addAgent(number int) {
	s := settings.DefaultAgent()
	s.VM = ryeford.VMID(fmt.Sprintf("endpoint-%d", number))
	s.Region, s.FailureDomain = "region-1", fmt.Sprintf("domain-%d", number)
	s.Platform = f.standin.Platform.Address
	s.Listen, s.Metrics = freeAddress(), freeAddress()
	for i := range devEngines {
		e := settings.StandinEngine{Address: freeAddress(), Pools: []ryeford.Pool{{Model: devModel}}, ChecksFences: true}
		f.standin.Engines = append(f.standin.Engines, e)
		s.Engines = append(s.Engines, settings.Engine{
			ID:           ryeford.EngineID(fmt.Sprintf("%s.%d", s.VM, i+1)),
			Address:      e.Address,
			ChecksFences: true,
		})
	}
	if number == 1 {
		service := settings.StandinService{Address: freeAddress()}
		f.standin.Services = append(f.standin.Services, service)
		s.Services = []settings.Service{{ID: "notes.1", Name: devService, Address: service.Address}}
	}
	f.standin.Platform.VMs = append(f.standin.Platform.VMs, settings.StandinVM{
		ID: s.VM, Role: ryeford.RoleAgent, Region: s.Region, FailureDomain: s.FailureDomain, Address: s.Listen,
	})
	f.agents = append(f.agents, s)
}

// run starts all processes of the fleet and publishes the demo template.
func (f *devFleet) run(ctx context.Context, group *errgroup.Group) error {
	authority, err := transport.NewAuthority()
	if err != nil {
		return err
	}
	group.Go(func() error { return standin.Run(ctx, f.standin, f.logger) })
	client := tableservice.New(f.router.Platform.AddrPort, f.router.VM)
	for _, s := range f.agents {
		tlsConfig, err := issueTLS(authority, s.VM)
		if err != nil {
			return err
		}
		a, err := agent.New(s, tlsConfig, client, log.With(f.logger, "vm", s.VM))
		if err != nil {
			return err
		}
		group.Go(func() error { return a.Run(ctx) })
	}
	if err := publishDemo(ctx, client); err != nil {
		return err
	}
	tlsConfig, err := issueTLS(authority, f.router.VM)
	if err != nil {
		return err
	}
	r, err := router.New(f.router, tlsConfig, client, log.With(f.logger, "vm", f.router.VM))
	if err != nil {
		return err
	}
	group.Go(func() error { return r.Run(ctx) })
	return nil
}

// issueTLS returns the TLS configuration of a VM with a new certificate.
func issueTLS(authority *transport.Authority, vm ryeford.VMID) (*tls.Config, error) {
	pair, err := authority.Issue(vm)
	if err != nil {
		return nil, err
	}
	return transport.TLSConfig(authority.Certificate(), pair)
}

// announce waits until the fleet answers a turn, and then prints how to use it.
func (f *devFleet) announce(ctx context.Context, c *cli.Command) error {
	served := awaitReady(ctx, func() bool {
		answer, err := demoTurn(ctx, f.router.Callers.AddrPort)
		return err == nil && answer.Complete
	})
	if !served {
		return nil
	}
	_, err := fmt.Fprintf(c.Root().Writer, `ready: callers on %[1]s, operators on %[2]s

Send a turn:
  curl -sN http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' -H 'Ryeford-Chat: chat-1' -d '{"model":"%[4]s","stream":true,"messages":[{"role":"user","content":"good morning"}]}'

See the fleet:
  go run ./cmd/ryeford status --operators %[2]s --operator-key %[5]s

Make an engine reject requests with a Retry-After of 10 s, and accept them again:
  go run ./cmd/ryeford standin fault %[6]s '{"refuse":true,"retry_after_s":10}'
  go run ./cmd/ryeford standin fault %[6]s '{}'

Let an endpoint VM leave:
  go run ./cmd/ryeford vm stop --operators %[2]s --operator-key %[5]s %[7]s
`, f.router.Callers, f.router.Operators, devKey, devModel, devOperatorKey, f.standin.Engines[0].Address, f.agents[0].VM)
	return err
}

func freeAddress() settings.Address { return settings.Address{AddrPort: freeport.Next()} }
