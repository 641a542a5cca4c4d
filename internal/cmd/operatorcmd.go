package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/router"
	"github.com/ryeford/ryeford/operator"
)

// operatorFlags returns the flags for the routers' addresses and the operators' key,
// followed by more.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name:    "operators",
			Usage:   "a router's address for operators, `IP:PORT`; repeat it for more routers",
			Sources: cli.EnvVars("RYEFORD_OPERATORS"),
			Value:   []string{"127.0.0.1:8081"},
		},
		&cli.StringFlag{
			Name:    "operator-key",
			Usage:   "the routers' `KEY` for operators (operator_key in their settings)",
			Sources: cli.EnvVars("RYEFORD_OPERATOR_KEY"),
		},
	}, more...)
}

func operatorClients(c *cli.Command) ([]*operator.Client, error) {
	addresses, err := addressesFlag(c, "operators")
	if err != nil {
		return nil, err
	}
	var clients []*operator.Client
	for _, address := range addresses {
		clients = append(clients, operator.New(address, c.String("operator-key")))
	}
	return clients, nil
}

// withFirstOperator calls do with the client of each router in turn until one answers.
func withFirstOperator(c *cli.Command, do func(*operator.Client) error) error {
	clients, err := operatorClients(c)
	if err != nil {
		return err
	}
	for _, client := range clients {
		err = do(client)
		var operatorErr *operator.Error
		if err == nil || !errors.As(err, &operatorErr) || operatorErr.Status != 0 {
			return err
		}
	}
	return err
}

// operatorAction returns the action of a command with one argument, which calls the first
// router that answers and prints the result.
func operatorAction[A ~string, T any](
	argument string,
	call func(*operator.Client, context.Context, A) (T, error),
	printResult func(*cli.Command, T) error,
) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		text, err := oneArg(c, argument)
		if err != nil {
			return err
		}
		return withFirstOperator(c, func(client *operator.Client) error {
			result, err := call(client, ctx, A(text))
			if err != nil {
				return err
			}
			return printResult(c, result)
		})
	}
}

func addressesFlag(c *cli.Command, name string) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for _, text := range c.StringSlice(name) {
		address, err := parseAddress(text, "--"+name+": ")
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

func addressFlag(c *cli.Command, name string) (netip.AddrPort, error) {
	return parseAddress(c.String(name), "--"+name+": ")
}

// parseAddress parses the address of an argument or a flag. Its error begins with
// errPrefix.
func parseAddress(text, errPrefix string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, &UsageError{Problem: errPrefix + "want IP:PORT, not " + text}
	}
	return address, nil
}

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

func newVMCommand() *cli.Command {
	return &cli.Command{
		Name:  "vm",
		Usage: "change the state of a VM",
		Commands: []*cli.Command{{
			Name:      "stop",
			Usage:     "begin a planned stop: the VM's agent takes no new requests, finishes those in flight and exits",
			ArgsUsage: "VM",
			Flags:     operatorFlags(),
			Action:    operatorAction("VM", (*operator.Client).StopVM, printStopping),
		}},
	}
}

func printStopping(c *cli.Command, vm *ryeford.VM) error {
	_, err := fmt.Fprintf(c.Root().Writer, "%s (%s, %s) is leaving\n", vm.ID, vm.Role, vm.FailureDomain)
	return err
}
