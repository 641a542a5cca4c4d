// Package cmd is the command line: one file a command, named after it; processcmd.go
// runs the router and the agent, operatorcmd.go is for operators.
//
// It owns the names and texts of commands and flags, the exit codes (exit.go), and
// how a process starts: settings, log (processcmd.go), signals. It relies on package
// settings for the settings files, on the packages of each role for the process
// itself, and on packages caller and operator for the calls of a router.
package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Main runs the program and returns its exit code. SIGINT and SIGTERM end the
// context of the command, whose process then drains.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRootCommand()
	root.Writer = stdout
	root.ErrWriter = stderr
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {} // exits below
	err := root.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(stderr, "ryeford:", err)
	return exitCode(err)
}

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

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print JSON in place of text"}
}

func oneArg(c *cli.Command, name string) (string, error) {
	if c.NArg() != 1 {
		return "", &UsageError{Problem: fmt.Sprintf("want one argument: %s", name)}
	}
	return c.Args().First(), nil
}

func newVersionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, "ryeford", version())
			return err
		},
	}
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}
