package cmd

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"github.com/ryeford/ryeford/gateway"
	"github.com/ryeford/ryeford/internal/boundedlog"
	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/platform"
	"github.com/ryeford/ryeford/settings"
)

const (
	// memoryShare is the part of the process's memory that the heap may take before
	// it is collected more often: the rest is for stacks, sockets and the log.
	memoryShare = 0.6
	// collectAt is the growth of the heap, in percent, at which it is collected.
	collectAt = 50
	megabyte  = 1 << 20
	// logQueue is how many bytes of log may wait to be written; lines beyond are
	// dropped and counted.
	logQueue = 256 << 10
)

func newGatewayCommand() *cli.Command {
	return &cli.Command{
		Name:   "gateway",
		Usage:  "run a router on a platform that keeps the configuration and the list of endpoints",
		Flags:  []cli.Flag{settingsFlag("RYEFORD_CONFIG")},
		Action: runGateway,
	}
}

// runGateway runs a gateway until ctx ends. Its log goes to standard output, through a
// queue that no request waits for.
func runGateway(ctx context.Context, c *cli.Command) error {
	// First of all: until SIGHUP is caught, it ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	file := c.String("settings")
	s, err := settings.Load(file, settings.DefaultGateway())
	if err != nil {
		return err
	}
	setMemory(s)
	queue := boundedlog.New(c.Root().Writer, logQueue)
	defer func() { _ = queue.Close() }() // it never fails
	logger := log.With(newLogger(queue, "gateway"), "vm", s.VM)
	metrics := telemetry.NewSet()
	metrics.Gauge("ryeford_log_lines_dropped", func() float64 { return float64(queue.Dropped()) })
	g := newGateway(s, logger, metrics)
	_ = logger.Log("msg", "starting", "file", file)
	go reloadAt(ctx, hangups, file, logger)
	return g.Run(ctx)
}

// reloadAt reads the settings again at each hangup until ctx ends, for the memory; the
// others stay until the next start. Settings that are wrong are logged, and those in
// use stay.
func reloadAt(ctx context.Context, hangups <-chan os.Signal, file string, logger log.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			s, err := settings.Load(file, settings.DefaultGateway())
			if err == nil {
				setMemory(s)
			}
			_ = logger.Log("msg", "reload", "file", file, "err", err)
		}
	}
}

// newGateway returns a gateway that uses the store of its settings.
func newGateway(s *settings.Gateway, logger log.Logger, metrics *telemetry.Set) *gateway.Gateway {
	store := platform.NewStore(s.Store.AddrPort, s.Routing.StoreTimeout)
	return gateway.New(s, gateway.Platform{
		Protocol:       platform.Protocol{},
		Configurations: store,
		Endpoints:      store,
		Routers:        store,
		HeldRequests:   store,
		ReadyPath:      platform.PathReady,
	}, logger, metrics)
}

// setMemory limits the heap to its part of the memory of the settings.
func setMemory(s *settings.Gateway) {
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory) * megabyte))
}
