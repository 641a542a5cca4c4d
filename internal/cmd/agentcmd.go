package cmd

import (
	"github.com/urfave/cli/v3"

	"github.com/ryeford/ryeford/agentfleet/agent"
	"github.com/ryeford/ryeford/agentfleet/tableservice"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/settings"
)

func newAgentCommand() *cli.Command {
	agents := role[settings.Agent]{
		name:  "agent",
		usage: "run the agent of an endpoint VM (fleet with agents)",
		load:  settings.LoadAgent,
		build: newAgent,
	}
	return agents.command()
}

// newAgent returns an agent with the identity that its settings name.
func newAgent(p *startup[settings.Agent]) (runner, error) {
	s := p.settings
	tlsConfig, err := transport.LoadTLSConfig(&s.TLS)
	if err != nil {
		return nil, err
	}
	return agent.New(s, tlsConfig, tableservice.New(s.Platform.AddrPort, s.VM), p.logger)
}
