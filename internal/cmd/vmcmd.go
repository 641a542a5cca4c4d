package cmd

import (
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
			Action:    operatorAction("VM", (*operator.Client).StopVM, printStopping),
		}},
	}
}

func printStopping(c *cli.Command, vm *ryeford.VM) error {
	_, err := fmt.Fprintf(c.Root().Writer, "%s (%s, %s) is leaving\n", vm.ID, vm.Role, vm.FailureDomain)
	return err
}
