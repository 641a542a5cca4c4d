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

func makeCerts(_ context.Context, c *cli.Command) error {
	if c.NArg() == 0 {
		return &UsageError{Problem: "want the names of VMs"}
	}
	authority, err := transport.NewAuthority()
	if err != nil {
		return err
	}
	files := map[string][]byte{"authority.pem": authority.Certificate()}
	for _, vm := range c.Args().Slice() {
		pair, err := authority.Issue(ryeford.VMID(vm))
		if err != nil {
			return err
		}
		files[vm+".pem"], files[vm+".key"] = pair.Certificate, pair.Key
	}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(c.String("dir"), name), content, 0o600); err != nil {
			return err
		}
	}
	return nil
}
