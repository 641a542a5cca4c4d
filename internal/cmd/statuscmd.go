package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/ryeford/ryeford/agentfleet/router"
)

func newStatusCommand() *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "show routers and the agents that they reach",
		Flags:  operatorFlags(jsonFlag()),
		Action: showStatus,
	}
}

func showStatus(ctx context.Context, c *cli.Command) error {
	clients, err := operatorClients(c)
	if err != nil {
		return err
	}
	var all []*router.Status
	for _, client := range clients {
		s, err := client.Status(ctx)
		if err != nil {
			return err
		}
		all = append(all, s)
	}
	if c.Bool("json") {
		return json.NewEncoder(c.Root().Writer).Encode(all)
	}
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	for _, s := range all {
		fmt.Fprintf(w, "router %s\t%s\tready=%t\trevision=%d\tin_flight=%d\tskew=%.2f\n", s.Router, s.Domain, s.Ready, s.Revision, s.InFlight, s.Skew)
		for _, a := range s.Agents {
			fmt.Fprintf(w, "  agent %s\t%s\tleaving=%t\trevision=%d\tengines=%d\t\n", a.VM, a.FailureDomain, a.Leaving, a.Revision, len(a.Engines))
		}
	}
	return w.Flush()
}
