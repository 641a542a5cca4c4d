package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/router"
)

func newExplainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the decisions on a request, from routers and their agents or from gateways' logs",
		ArgsUsage: "REQUEST",
		Flags: operatorFlags(jsonFlag(), &cli.StringSliceFlag{
			Name:  "log",
			Usage: "read a gateway's log from `FILE` (- is standard input) and call no router; repeat it for more logs",
		}),
		Action: explain,
	}
}

// explain gathers the decisions on a request.
func explain(ctx context.Context, c *cli.Command) error {
	id, err := oneArg(c, "REQUEST")
	if err != nil {
		return err
	}
	if files := c.StringSlice("log"); len(files) > 0 {
		return explainLogs(c.Root().Writer, ryeford.RequestID(id), files)
	}
	clients, err := operatorClients(c)
	if err != nil {
		return err
	}
	all := &router.Explanation{Request: ryeford.RequestID(id)}
	var failed error
	for _, client := range clients {
		e, err := client.Explain(ctx, all.Request)
		if err != nil {
			failed = err // others may know the request
			continue
		}
		all.Decisions = append(all.Decisions, e.Decisions...)
	}
	slices.Sort(all.Decisions)
	all.Decisions = slices.Compact(all.Decisions)
	if len(all.Decisions) == 0 {
		if failed != nil {
			return failed
		}
		return &ryeford.NotFoundError{Kind: "request", Name: id}
	}
	if c.Bool("json") {
		return json.NewEncoder(c.Root().Writer).Encode(all)
	}
	for _, line := range all.Decisions {
		if _, err := fmt.Fprintln(c.Root().Writer, line); err != nil {
			return err
		}
	}
	return nil
}
