package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/ryeford/ryeford/agentfleet/router"
	"github.com/ryeford/ryeford/agentfleet/tableservice"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/settings"
)

// newRouterCommand returns the command that runs a router.
func newRouterCommand() *cli.Command {
	return &cli.Command{
		Name:   "router",
		Usage:  "run a router on an entry VM",
		Flags:  []cli.Flag{settingsFlag()},
		Action: runRouter,
	}
}

// runRouter runs a router until it is told to stop.
func runRouter(ctx context.Context, c *cli.Command) error {
	s, err := settings.LoadRouter(c.String("settings"))
	if err != nil {
		return err
	}
	tlsConfig, err := transport.LoadTLSConfig(&s.TLS)
	if err != nil {
		return err
	}
	client := tableservice.New(s.Platform.AddrPort, tableservice.WithVM(s.VM))
	r, err := router.New(s, tlsConfig, client, newLogger(c.Root().ErrWriter, "router"))
	if err != nil {
		return err
	}
	return r.Run(ctx)
}
