package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/tableservice"
	"github.com/ryeford/ryeford/settings"
	"github.com/ryeford/ryeford/standin"
)

func newStandinCommand() *cli.Command {
	run := newProcessCommand("standin", "run the stand-ins of a settings file", &settings.Standin{}, standin.Run)
	run.Name = "run"
	return &cli.Command{
		Name:  "standin",
		Usage: "run stand-ins of outside systems, for tests, and set their faults",
		Commands: []*cli.Command{
			run,
			{
				Name:      "fault",
				Usage:     "set a stand-in's fault; the JSON's form is that of its kind (package standin)",
				ArgsUsage: "IP:PORT JSON",
				Action:    setFault,
			},
			{
				Name:      "runs",
				Usage:     "print what a stand-in has run, as JSON",
				ArgsUsage: "IP:PORT",
				Action:    printRuns,
			},
			{
				Name:      "vm",
				Usage:     "change a VM's state in the list of a platform stand-in",
				ArgsUsage: "IP:PORT VM live|leaving",
				Action:    setVM,
			},
		},
	}
}

func setFault(ctx context.Context, c *cli.Command) error {
	if c.NArg() != 2 {
		return &UsageError{Problem: "want two arguments: IP:PORT JSON"}
	}
	fault := []byte(c.Args().Get(1))
	if !json.Valid(fault) {
		return &UsageError{Problem: "the fault is not valid JSON"}
	}
	_, err := callStandin(ctx, http.MethodPost, c.Args().First(), standin.PathFault, fault)
	return err
}

func setVM(ctx context.Context, c *cli.Command) error {
	if c.NArg() != 3 {
		return &UsageError{Problem: "want three arguments: IP:PORT VM live|leaving"}
	}
	address, err := parseAddress(c.Args().First(), "")
	if err != nil {
		return err
	}
	client := tableservice.New(address, "")
	vms, err := client.VMs(ctx)
	if err != nil {
		return err
	}
	for _, vm := range vms {
		if string(vm.ID) == c.Args().Get(1) {
			vm.State = ryeford.VMState(c.Args().Get(2))
			return client.PutVM(ctx, vm)
		}
	}
	return &ryeford.NotFoundError{Kind: "VM", Name: c.Args().Get(1)}
}

func printRuns(ctx context.Context, c *cli.Command) error {
	address, err := oneArg(c, "IP:PORT")
	if err != nil {
		return err
	}
	content, err := callStandin(ctx, http.MethodGet, address, standin.PathRuns, nil)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.Root().Writer, strings.TrimSpace(string(content)))
	return err
}

// callStandin sends one request to a stand-in and returns the response body.
func callStandin(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	if _, err := parseAddress(address, ""); err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, &UsageError{Problem: "stand-in: " + string(content)}
	}
	return content, nil
}
