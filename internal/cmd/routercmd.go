package cmd

import (
	"github.com/urfave/cli/v3"

	"github.com/ryeford/ryeford/agentfleet/router"
	"github.com/ryeford/ryeford/agentfleet/tableservice"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/settings"
)

func newRouterCommand() *cli.Command {
	routers := role[settings.Router]{
		name:  "router",
		usage: "run a router on an entry VM (fleet with agents)",
		load:  settings.LoadRouter,
		build: newRouter,
	}
	return routers.command()
}

// newRouter returns a router with the identity that its settings name.
func newRouter(p *startup[settings.Router]) (runner, error) {
	s := p.settings
	tlsConfig, err := transport.LoadTLSConfig(&s.TLS)
	if err != nil {
		return nil, err
	}
	return router.New(s, tlsConfig, tableservice.New(s.Platform.AddrPort, s.VM), p.logger)
}
