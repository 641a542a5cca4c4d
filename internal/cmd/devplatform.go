package cmd

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/platform"
	"github.com/ryeford/ryeford/settings"
	"github.com/ryeford/ryeford/standin/emulator"
)

// runDevPlatform runs a gateway with an emulator of the users' platform until
// ctx ends.
func runDevPlatform(ctx context.Context, c *cli.Command, callers netip.AddrPort) error {
	emulated := &settings.Emulator{Store: freeAddress(), Admin: freeAddress()}
	for _, server := range []settings.EmulatorServer{
		{ID: "model-1", Service: emulator.DemoModel, Events: 20, Step: 20 * time.Millisecond},
		{ID: "model-2", Service: emulator.DemoModel, Events: 20, Step: 20 * time.Millisecond},
		{ID: "notes-1", Service: emulator.DemoNotes, Step: 20 * time.Millisecond},
	} {
		server.Address, server.FailureDomain = freeAddress(), "domain-1"
		emulated.Servers = append(emulated.Servers, server)
	}
	s := settings.DefaultGateway()
	s.VM, s.Region, s.FailureDomain = "router-1", "region-1", "domain-1"
	s.Callers, s.Readiness, s.Store = settings.Address{AddrPort: callers}, freeAddress(), emulated.Store
	logger := log.NewNopLogger()
	if c.Bool("verbose") {
		logger = newLogger(c.Root().ErrWriter, "gateway")
	}
	g := newGateway(s, logger, telemetry.NewSet())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return emulator.New(emulated, emulator.DemoConfiguration(devKey)).Run(ctx) })
	group.Go(func() error { return g.Run(ctx) })
	group.Go(func() error { return announcePlatform(ctx, c, s, emulated) })
	return group.Wait()
}

// announcePlatform waits until the gateway is ready, and prints how to use it.
func announcePlatform(ctx context.Context, c *cli.Command, s *settings.Gateway, emulated *settings.Emulator) error {
	ready := pollDev(ctx, func() bool {
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

Let a server fail:
  go run ./cmd/ryeford standin fault %[2]s '{"server":"model-1","fault":"cut","requests":-1}'
`, s.Callers, emulated.Admin, emulator.DemoCommand(s.Callers.AddrPort, devKey))
	return err
}
