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
	// heapShare is the part of the process's memory that is set as the memory limit of the
	// Go runtime. The rest is a margin for memory outside the runtime, such as sockets.
	heapShare = 0.6
	// gcPercent is the growth of the heap, in percent, that starts a garbage collection.
	gcPercent = 50
	megabyte  = 1 << 20
	// logQueueSize is the size of the log queue in bytes; lines beyond it are dropped and
	// counted.
	logQueueSize = 256 << 10
)

func newGatewayCommand() *cli.Command {
	return &cli.Command{
		Name:   "gateway",
		Usage:  "run a router on a platform that keeps the configuration and the list of endpoints",
		Flags:  []cli.Flag{settingsFlag("RYEFORD_CONFIG")},
		Action: runGateway,
	}
}

// runGateway runs a gateway until ctx ends. It logs to standard output through a queue, so
// that requests never wait for the log.
func runGateway(ctx context.Context, c *cli.Command) error {
	// This must come first: SIGHUP ends the process until it is handled.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	file := c.String("settings")
	s, err := settings.Load(file, settings.DefaultGateway())
	if err != nil {
		return err
	}
	setMemoryLimit(s)
	queue := boundedlog.New(c.Root().Writer, logQueueSize)
	defer func() { _ = queue.Close() }() // never fails
	logger := log.With(newLogger(queue, "gateway"), "vm", s.VM)
	metrics := telemetry.NewSet()
	metrics.Gauge("ryeford_log_lines_dropped", func() float64 { return float64(queue.Dropped()) })
	g := newGateway(s, logger, metrics)
	_ = logger.Log("msg", "starting", "file", file)
	go reloadOnHangup(ctx, hangups, file, logger)
	return g.Run(ctx)
}

// reloadOnHangup reads the settings again on each SIGHUP until ctx ends, and applies the
// memory limit. Other settings take effect at the next start. If the file is invalid, it
// logs the error and keeps the settings in use.
func reloadOnHangup(ctx context.Context, hangups <-chan os.Signal, file string, logger log.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			s, err := settings.Load(file, settings.DefaultGateway())
			if err == nil {
				setMemoryLimit(s)
			}
			_ = logger.Log("msg", "reload", "file", file, "err", err)
		}
	}
}

// newGateway returns a gateway that uses the store in its settings.
func newGateway(s *settings.Gateway, logger log.Logger, metrics *telemetry.Set) *gateway.Gateway {
	store := platform.NewStore(s.Store.AddrPort, s.Routing.StoreTimeout)
	return gateway.New(s, gateway.Platform{
		Protocol:       platform.Protocol{},
		Configurations: store,
		Endpoints:      store,
		Routers:        store,
		HeldRequests:   store,
		Streams:        store,
		ReadyPath:      platform.PathReady,
	}, logger, metrics)
}

// setMemoryLimit applies the memory of the settings to the Go runtime.
func setMemoryLimit(s *settings.Gateway) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapShare * float64(s.Memory) * megabyte))
}
