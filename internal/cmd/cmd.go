// Package cmd holds the commands of the program, one in each file.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/caller"
	"github.com/ryeford/ryeford/operator"
	"github.com/ryeford/ryeford/settings"
)

// The program's exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitUsage    = 2 // wrong arguments, settings or input
	exitConflict = 3 // another operator was first
	exitNotRun   = 4 // refused or unavailable; nothing was done
	exitUnknown  = 5 // it may have been done
	exitMissed   = 6 // a stated outcome was missed
)

// A UsageError says what is wrong with the arguments.
type UsageError struct {
	Problem string
}

// Error returns the text of e.
func (e *UsageError) Error() string { return e.Problem }

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRootCommand()
	root.Writer = stdout
	root.ErrWriter = stderr
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	err := root.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(stderr, "ryeford:", err)
	return exitCode(err)
}

// newRootCommand returns the program's command.
func newRootCommand() *cli.Command {
	return &cli.Command{
		Name:                  "ryeford",
		Usage:                 "a router fleet for returning chats",
		Version:               version(),
		EnableShellCompletion: true,
		HideVersion:           true,
		Commands: []*cli.Command{
			newRouterCommand(),
			newAgentCommand(),
			newGatewayCommand(),
			newDevCommand(),
			newTemplateCommand(),
			newVMCommand(),
			newStatusCommand(),
			newExplainCommand(),
			newCheckCommand(),
			newCallCommand(),
			newTraceCommand(),
			newReplayCommand(),
			newCertCommand(),
			newStandinCommand(),
			newVersionCommand(),
		},
	}
}

// exitCode returns the exit code of a failure.
func exitCode(err error) int {
	var usage *UsageError
	var settingsErr *settings.Error
	var input *ryeford.InputError
	var missed *MissedError
	var operatorErr *operator.Error
	var failure *caller.Failure
	switch {
	case errors.As(err, &usage), errors.As(err, &settingsErr), errors.As(err, &input):
		return exitUsage
	case errors.As(err, &missed):
		return exitMissed
	case errors.As(err, &failure) && failure.Ran == "not_run":
		return exitNotRun
	case errors.As(err, &failure):
		return exitUnknown
	case !errors.As(err, &operatorErr):
		return exitFailure
	}
	switch {
	case operatorErr.Status == http.StatusConflict:
		return exitConflict
	case operatorErr.Status == http.StatusBadRequest:
		return exitUsage
	case operatorErr.Ran == "not_run":
		return exitNotRun
	}
	return exitUnknown
}

// jsonFlag returns the flag that asks for JSON.
func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print JSON"}
}

// operatorFlags returns the flags that name routers and the operators' key.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name:    "operators",
			Usage:   "the routers' `IP:PORT` for operators, one or more",
			Sources: cli.EnvVars("RYEFORD_OPERATORS"),
			Value:   []string{"127.0.0.1:8081"},
		},
		&cli.StringFlag{
			Name:    "operator-key",
			Usage:   "the operators' `KEY`",
			Sources: cli.EnvVars("RYEFORD_OPERATOR_KEY"),
		},
	}, more...)
}

// operatorClients returns a client of each router that the flags name.
func operatorClients(c *cli.Command) ([]*operator.Client, error) {
	var clients []*operator.Client
	for _, text := range c.StringSlice("operators") {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, &UsageError{Problem: "--operators: want IP:PORT, not " + text}
		}
		clients = append(clients, operator.New(address, c.String("operator-key")))
	}
	return clients, nil
}

// firstOperator calls do with one router after the other until one answers.
func firstOperator(c *cli.Command, do func(*operator.Client) error) error {
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

// oneArg returns the command's only argument.
func oneArg(c *cli.Command, name string) (string, error) {
	if c.NArg() != 1 {
		return "", &UsageError{Problem: fmt.Sprintf("want one argument: %s", name)}
	}
	return c.Args().First(), nil
}
