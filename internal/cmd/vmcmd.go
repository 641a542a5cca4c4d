package cmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/operator"
)

func newVMCommand() *cli.Command {
	return &cli.Command{
		Name:  "vm",
		Usage: "change the state of a VM",
		Commands: []*cli.Command{{
			Name:      "stop",
			Usage:     "begin a planned stop: the VM's agent takes no new requests, finishes those in flight and exits",
			ArgsUsage: "VM",
			Flags:     operatorFlags(),
			Action:    stopVM,
		}},
	}
}

func stopVM(ctx context.Context, c *cli.Command) error {
	id, err := oneArg(c, "VM")
	if err != nil {
		return err
	}
	return firstOperator(c, func(client *operator.Client) error {
		vm, err := client.StopVM(ctx, ryeford.VMID(id))
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(c.Root().Writer, "%s (%s, %s) is leaving\n", vm.ID, vm.Role, vm.FailureDomain)
		return err
	})
}
