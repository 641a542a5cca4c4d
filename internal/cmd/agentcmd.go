package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/ryeford/ryeford/agentfleet/agent"
	"github.com/ryeford/ryeford/agentfleet/tableservice"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/settings"
)

// newAgentCommand returns the command that runs an agent.
func newAgentCommand() *cli.Command {
	return &cli.Command{
		Name:   "agent",
		Usage:  "run the agent of an endpoint VM",
		Flags:  []cli.Flag{settingsFlag()},
		Action: runAgent,
	}
}

// runAgent runs an agent until it has drained.
func runAgent(ctx context.Context, c *cli.Command) error {
	s, err := settings.LoadAgent(c.String("settings"))
	if err != nil {
		return err
	}
	tlsConfig, err := transport.LoadTLSConfig(&s.TLS)
	if err != nil {
		return err
	}
	client := tableservice.New(s.Platform.AddrPort, tableservice.WithVM(s.VM))
	a, err := agent.New(s, tlsConfig, client, newLogger(c.Root().ErrWriter, "agent"))
	if err != nil {
		return err
	}
	return a.Run(ctx)
}
