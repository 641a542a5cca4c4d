// Package cmd implements the command line. Each command has a file named after it, except
// that processcmd.go has the router and the agent, and operatorcmd.go the small commands
// for operators.
//
// It defines the names and texts of commands and flags, the exit codes (exit.go), and how a
// process starts: settings, log (processcmd.go), signals. It uses package settings for the
// settings files, the packages of each role for the process itself, and packages caller and
// operator for calls of a router.
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

// Main runs the program and returns its exit code. SIGINT and SIGTERM cancel the command's
// context, and a long-running process then drains.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRootCommand()
	root.Writer = stdout
	root.ErrWriter = stderr
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {} // don't exit; Main returns the code
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
