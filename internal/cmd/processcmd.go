package cmd

import (
	"context"
	"io"
	"time"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"github.com/ryeford/ryeford/agentfleet/agent"
	"github.com/ryeford/ryeford/agentfleet/router"
	"github.com/ryeford/ryeford/agentfleet/tableservice"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/settings"
)

// newProcessCommand returns a command that runs one process until its context ends, on SIGINT
// or SIGTERM (see Main). The settings file is read into defaults. run returns once the
// process has drained, or with the error that ended it. The log goes to standard error.
func newProcessCommand[S any](
	name, usage string,
	defaults *S,
	run func(context.Context, *S, log.Logger) error,
) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := settings.Load(c.String("settings"), defaults)
			if err != nil {
				return err
			}
			return run(ctx, s, newLogger(c.Root().ErrWriter, name))
		},
	}
}

// settingsFlag returns the flag for the settings file, which can also be given in one of the
// environment variables.
func settingsFlag(variables ...string) cli.Flag {
	return &cli.StringFlag{
		Name:     "settings",
		Usage:    "the settings `FILE`, in YAML (docs/settings.md)",
		Required: true,
		Sources:  cli.EnvVars(variables...),
	}
}

// newLogger returns the logger of a process: logfmt with the time, in UTC, and the role.
// ts must be the first key, since explain --log skips any text before it.
func newLogger(w io.Writer, role string) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	timestamp := log.TimestampFormat(func() time.Time { return time.Now().UTC() }, time.RFC3339Nano)
	return log.With(logger, "ts", timestamp, "role", role)
}

func newRouterCommand() *cli.Command {
	return newProcessCommand("router", "run a router on an entry VM (fleet with agents)",
		settings.DefaultRouter(), runRouter)
}

func runRouter(ctx context.Context, s *settings.Router, logger log.Logger) error {
	tlsConfig, err := transport.LoadTLSConfig(&s.TLS)
	if err != nil {
		return err
	}
	r, err := router.New(s, tlsConfig, tableservice.New(s.Platform.AddrPort, s.VM), logger)
	if err != nil {
		return err
	}
	return r.Run(ctx)
}

func newAgentCommand() *cli.Command {
	return newProcessCommand("agent", "run the agent of an endpoint VM (fleet with agents)",
		settings.DefaultAgent(), runAgent)
}

func runAgent(ctx context.Context, s *settings.Agent, logger log.Logger) error {
	tlsConfig, err := transport.LoadTLSConfig(&s.TLS)
	if err != nil {
		return err
	}
	a, err := agent.New(s, tlsConfig, tableservice.New(s.Platform.AddrPort, s.VM), logger)
	if err != nil {
		return err
	}
	return a.Run(ctx)
}
