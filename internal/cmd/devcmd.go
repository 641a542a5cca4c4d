package cmd

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/template"
	"github.com/ryeford/ryeford/caller"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/platform"
	"github.com/ryeford/ryeford/settings"
	"github.com/ryeford/ryeford/standin/emulator"
)

// The demo client account of a dev fleet, its key and its model.
const (
	devAccount = "demo"
	devKey     = "demo-key-1"
	devModel   = "lira"
)

// devPollInterval is the interval at which a starting dev fleet is checked.
const devPollInterval = 50 * time.Millisecond

// newDevCommand returns the command that runs a small fleet in one process: either the fleet
// with agents (devfleet.go), or a gateway with an emulator.
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

// awaitReady waits until ready returns true. It returns false if ctx ends first.
func awaitReady(ctx context.Context, ready func() bool) bool {
	for !ready() {
		if !clock.Sleep(ctx, devPollInterval) {
			return false
		}
	}
	return true
}

// publishDemo publishes the demo account's template. It retries until the platform answers.
func publishDemo(ctx context.Context, table ryeford.Table) error {
	t := ryeford.Template{
		Account:   devAccount,
		Name:      "chat",
		Model:     devModel,
		Priority:  ryeford.PriorityDefault,
		Share:     1,
		KeyHashes: []string{ryeford.HashKey(devKey)},
		PublishID: uuid.NewString(),
	}
	for {
		_, err := template.NewStore(table).Publish(ctx, t)
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func demoTurn(ctx context.Context, address netip.AddrPort) (*caller.Answer, error) {
	return caller.New().Complete(ctx, address, &caller.Turn{
		Key:      devKey,
		Chat:     "first",
		Model:    devModel,
		Messages: []ryeford.Message{{Role: "user", Content: "hello"}},
	})
}

// runDevPlatform runs a gateway with an emulator of the users' platform until ctx ends.
func runDevPlatform(ctx context.Context, c *cli.Command, callers netip.AddrPort) error {
	emulatorSettings := &settings.Emulator{Store: freeAddress(), Admin: freeAddress()}
	for _, server := range []settings.EmulatorServer{
		{ID: "model-1", Service: emulator.DemoModel, FailureDomain: "domain-1", Events: 20, Step: 20 * time.Millisecond},
		{ID: "model-2", Service: emulator.DemoModel, FailureDomain: "domain-2", Events: 20, Step: 20 * time.Millisecond},
		{ID: "notes-1", Service: emulator.DemoNotes, FailureDomain: "domain-1", Step: 20 * time.Millisecond},
	} {
		server.Address = freeAddress()
		emulatorSettings.Servers = append(emulatorSettings.Servers, server)
	}
	s := settings.DefaultGateway()
	s.VM, s.Region, s.FailureDomain = "router-1", "region-1", "domain-1"
	s.Callers, s.Readiness, s.Store = settings.Address{AddrPort: callers}, freeAddress(), emulatorSettings.Store
	logger := log.NewNopLogger()
	if c.Bool("verbose") {
		logger = newLogger(c.Root().ErrWriter, "gateway")
	}
	g := newGateway(s, logger, telemetry.NewSet())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return emulator.New(emulatorSettings, emulator.DemoConfiguration(devKey)).Run(ctx) })
	group.Go(func() error { return g.Run(ctx) })
	group.Go(func() error { return announcePlatform(ctx, c, s, emulatorSettings) })
	return group.Wait()
}

// announcePlatform waits until the gateway is ready, and then prints how to use it.
func announcePlatform(ctx context.Context, c *cli.Command, s *settings.Gateway, emulatorSettings *settings.Emulator) error {
	ready := awaitReady(ctx, func() bool {
		response, err := http.Get("http://" + s.Readiness.String() + platform.PathReady)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	if !ready {
		return nil
	}
	_, err := fmt.Fprintf(c.Root().Writer, `ready: callers on %[1]s, the emulator's faults on %[2]s

Send a request:
  %[3]s

Make a server fail:
  go run ./cmd/ryeford standin fault %[2]s '{"server":"model-1","fault":"cut","requests":-1}'

Evacuate a failure domain, and withdraw the evacuation:
  go run ./cmd/ryeford standin fault %[2]s '{"evacuate":"domain-1"}'
  go run ./cmd/ryeford standin fault %[2]s '{"withdraw":"domain-1"}'

Restart a server, cold for 20 s:
  go run ./cmd/ryeford standin fault %[2]s '{"server":"model-1","state":"ready","cold_ms":20000,"born":1700000000000}'

Make a server report in its responses that it is leaving, while its entry does not, and restart it:
  go run ./cmd/ryeford standin fault %[2]s '{"server":"model-1","leaving":true}'
  go run ./cmd/ryeford standin fault %[2]s '{"server":"model-1","leaving":false,"state":"ready","born":1700000001000}'

Make a server reject requests with a Retry-After of 5 s, and accept them again:
  go run ./cmd/ryeford standin fault %[2]s '{"server":"model-2","fault":"shed","requests":-1,"rest":"5"}'
  go run ./cmd/ryeford standin fault %[2]s '{"server":"model-2","fault":""}'

Restore the store from a backup that lacks an evacuation, and let the operators order it again:
  go run ./cmd/ryeford standin fault %[2]s '{"keep_copy":true}'
  go run ./cmd/ryeford standin fault %[2]s '{"evacuate":"domain-1"}'
  go run ./cmd/ryeford standin fault %[2]s '{"restore":true}'
  go run ./cmd/ryeford standin fault %[2]s '{"write_again":true}'

Make a request crash each server that runs it, and send it until it is quarantined (503):
  go run ./cmd/ryeford standin fault %[2]s '{"crash_body":"boom"}'
  for i in 1 2 3 4 5; do curl -s -o /dev/null -w '%%{http_code}\n' http://%[1]s/chat/1 -H 'Host: dev.example' -H "Ryeford-Request-Id: boom-$i" -H 'Authorization: Bearer %[4]s' -d boom; sleep 2; done
`, s.Callers, emulatorSettings.Admin, emulator.DemoCommand(s.Callers.AddrPort, devKey), devKey)
	return err
}
