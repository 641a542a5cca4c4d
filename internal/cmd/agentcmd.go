package cmd

import (
	"context"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"github.com/ryeford/ryeford/agentfleet/agent"
	"github.com/ryeford/ryeford/agentfleet/tableservice"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/settings"
)

func newAgentCommand() *cli.Command {
	return newProcessCommand("agent", "run the agent of an endpoint VM (fleet with agents)",
		settings.DefaultAgent(), runAgent)
}

func runAgent(ctx context.Context, s *settings.Agent, logger log.Logger) error {
	tlsConfig, err := transport.LoadTLSConfig(&s.TLS)
	if err != nil {
		return err
	}
	a, err := agent.New(s, tlsConfig, tableservice.New(s.Platform.AddrPort, s.VM), logger)
	if err != nil {
		return err
	}
	return a.Run(ctx)
}
