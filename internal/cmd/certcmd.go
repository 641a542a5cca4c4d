package cmd

import (
	"context"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/transport"
)

func newCertCommand() *cli.Command {
	return &cli.Command{
		Name:      "cert",
		Usage:     "make an authority and a certificate for each VM, for trials",
		ArgsUsage: "VM...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Usage: "the `DIR` for authority.pem, VM.pem and VM.key", Value: "."},
		},
		Action: makeCerts,
	}
}

// makeCerts writes authority.pem, and VM.pem and VM.key for each VM.
func makeCerts(_ context.Context, c *cli.Command) error {
	if c.NArg() == 0 {
		return &UsageError{Problem: "want the names of VMs"}
	}
	authority, err := transport.NewAuthority()
	if err != nil {
		return err
	}
	dir := c.String("dir")
	if err := os.WriteFile(filepath.Join(dir, "authority.pem"), authority.Certificate(), 0o600); err != nil {
		return err
	}
	for _, vm := range c.Args().Slice() {
		pair, err := authority.Issue(ryeford.VMID(vm))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, vm+".pem"), pair.Certificate, 0o600); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, vm+".key"), pair.Key, 0o600); err != nil {
			return err
		}
	}
	return nil
}
