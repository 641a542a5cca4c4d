package cmd

import (
	"context"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"github.com/ryeford/ryeford/agentfleet/router"
	"github.com/ryeford/ryeford/agentfleet/tableservice"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/settings"
)

func newRouterCommand() *cli.Command {
	return newProcessCommand("router", "run a router on an entry VM (fleet with agents)",
		settings.DefaultRouter(), runRouter)
}

func runRouter(ctx context.Context, s *settings.Router, logger log.Logger) error {
	tlsConfig, err := transport.LoadTLSConfig(&s.TLS)
	if err != nil {
		return err
	}
	r, err := router.New(s, tlsConfig, tableservice.New(s.Platform.AddrPort, s.VM), logger)
	if err != nil {
		return err
	}
	return r.Run(ctx)
}
