package cmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/ryeford/ryeford/settings"
)

func newCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a settings file, or a template, without running anything",
		ArgsUsage: "router|gateway|agent|standin|template FILE",
		Action:    checkSettings,
	}
}

func checkSettings(_ context.Context, c *cli.Command) error {
	if c.NArg() != 2 {
		return &UsageError{Problem: "want two arguments: router|gateway|agent|standin|template FILE"}
	}
	kind, file := c.Args().Get(0), c.Args().Get(1)
	var err error
	switch kind {
	case "router":
		_, err = settings.Load(file, settings.DefaultRouter())
	case "gateway":
		_, err = settings.Load(file, settings.DefaultGateway())
	case "agent":
		_, err = settings.Load(file, settings.DefaultAgent())
	case "standin":
		_, err = settings.Load(file, &settings.Standin{})
	case "template":
		_, err = settings.Load(file, settings.DefaultTemplate())
	default:
		return &UsageError{Problem: "want router, gateway, agent, standin or template, not " + kind}
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s: ok\n", file)
	return err
}
