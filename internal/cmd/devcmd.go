package cmd

import (
	"context"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/template"
	"github.com/ryeford/ryeford/caller"
)

// The demo client account of a dev fleet, and what it may use.
const (
	devAccount = "demo"
	devKey     = "demo-key-1"
	devModel   = "lira"
)

// devPoll is how often a dev fleet is tried until it serves. Not measured.
const devPoll = 50 * time.Millisecond

// newDevCommand returns the command that runs a small fleet in one process: the one
// with agents (devfleet.go), or a gateway (devplatform.go).
func newDevCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a small fleet in one process, with stand-ins for all outside systems",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "callers", Usage: "the router's address for callers, `IP:PORT`", Value: "127.0.0.1:8080"},
			&cli.StringFlag{Name: "operators", Usage: "the router's address for operators, `IP:PORT`", Value: "127.0.0.1:8081"},
			&cli.BoolFlag{Name: "platform", Usage: "run a gateway and an emulator of the users' platform, not the fleet with agents"},
			&cli.BoolFlag{Name: "verbose", Usage: "print the log to standard error"},
		},
		Action: runDev,
	}
}

// runDev runs a dev fleet until ctx ends.
func runDev(ctx context.Context, c *cli.Command) error {
	callers, err := addressFlag(c, "callers")
	if err != nil {
		return err
	}
	if c.Bool("platform") {
		return runDevPlatform(ctx, c, callers)
	}
	operators, err := addressFlag(c, "operators")
	if err != nil {
		return err
	}
	fleet := newDevFleet(callers, operators)
	if c.Bool("verbose") {
		fleet.logger = newLogger(c.Root().ErrWriter, "dev")
	}
	group, ctx := errgroup.WithContext(ctx)
	if err := fleet.run(ctx, group); err != nil {
		return err
	}
	group.Go(func() error { return fleet.announce(ctx, c) })
	return group.Wait()
}

// pollDev waits until a dev fleet serves, and reports whether it does. It gives up
// when ctx ends.
func pollDev(ctx context.Context, serves func() bool) bool {
	for ctx.Err() == nil {
		if serves() {
			return true
		}
		time.Sleep(devPoll)
	}
	return false
}

// publishDemo publishes the demo account's template, once the platform answers.
func publishDemo(ctx context.Context, table ryeford.Table) error {
	t := ryeford.Template{
		Account:   devAccount,
		Name:      "chat",
		Model:     devModel,
		Priority:  ryeford.PriorityDefault,
		Share:     1,
		KeyHashes: []string{ryeford.HashKey(devKey)},
		Change:    uuid.NewString(),
	}
	for {
		_, err := template.NewStore(table).Publish(ctx, t)
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// demoTurn sends one turn of the demo account.
func demoTurn(ctx context.Context, address netip.AddrPort) (*caller.Answer, error) {
	return caller.New().Complete(ctx, address, &caller.Turn{
		Key:      devKey,
		Chat:     "first",
		Model:    devModel,
		Messages: []ryeford.Message{{Role: "user", Content: "hello"}},
	})
}
