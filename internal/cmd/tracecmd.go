package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/ryeford/ryeford/trace"
)

func newTraceCommand() *cli.Command {
	return &cli.Command{
		Name:  "trace",
		Usage: "make traces for replay",
		Commands: []*cli.Command{{
			Name:      "make",
			Usage:     "draw a trace of one of the two users' workloads and print it",
			ArgsUsage: "skriptorij|nordlytt",
			Flags: []cli.Flag{
				&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the `SEED` of the random numbers; the same one draws the same trace"},
				&cli.IntFlag{Name: "turns", Value: 1000, Usage: "how many turns the trace has"},
				&cli.IntFlag{Name: "accounts", Value: 10, Usage: "how many client accounts the chats belong to"},
				&cli.FloatFlag{Name: "not-repeatable", Value: -1, Usage: "the `PART` of the turns, 0 to 1, that must not run more than once; below 0 is the workload's"},
				&cli.IntFlag{Name: "chats", Usage: "how many chats the turns are drawn from; 0 is the workload's"},
				&cli.IntFlag{Name: "chats-from", Usage: "the number in the first chat's ID"},
				&cli.FloatFlag{Name: "seconds", Value: 60, Usage: "the trace's length in seconds"},
			},
			Action: makeTrace,
		}},
	}
}

func makeTrace(_ context.Context, c *cli.Command) error {
	name, err := oneArg(c, "skriptorij|nordlytt")
	if err != nil {
		return err
	}
	var w trace.Workload
	switch name {
	case "skriptorij":
		w = trace.Skriptorij(c.Uint64("seed"), c.Int("turns"))
	case "nordlytt":
		w = trace.Nordlytt(c.Uint64("seed"), c.Int("turns"))
	default:
		return &UsageError{Problem: "want skriptorij or nordlytt, not " + name}
	}
	w.EventAt *= c.Float("seconds") / w.Seconds
	w.Seconds = c.Float("seconds")
	w.Accounts = c.Int("accounts")
	if part := c.Float("not-repeatable"); part >= 0 {
		w.NotRepeatable = part
	}
	if chats := c.Int("chats"); chats > 0 {
		w.Chats = chats
	}
	w.FirstChat = c.Int("chats-from")
	return trace.Write(c.Root().Writer, trace.Make(&w))
}
