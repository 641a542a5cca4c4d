package cmd

import (
	"runtime/debug"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"github.com/ryeford/ryeford/gateway"
	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/platform"
	"github.com/ryeford/ryeford/settings"
)

const (
	// memoryShare is the part of the process's memory that the heap may take before
	// it is collected more often: the rest is for stacks, sockets and the log. Not
	// measured.
	memoryShare = 0.6
	// collectAt is the growth of the heap, in percent, at which it is collected.
	// Not measured.
	collectAt = 50
	megabyte  = 1 << 20
)

// newGatewayCommand returns the command that runs a router on the users' platform.
func newGatewayCommand() *cli.Command {
	gateways := role[settings.Gateway]{
		name:      "gateway",
		usage:     "run a router on a platform that keeps the configuration and the list of endpoints",
		variable:  "RYEFORD_CONFIG",
		load:      settings.LoadGateway,
		build:     buildGateway,
		reload:    setMemory, // the other settings stay until the next start
		queuesLog: true,
	}
	return gateways.command()
}

// buildGateway returns a gateway and limits the memory of its process.
func buildGateway(p *startup[settings.Gateway]) (runner, error) {
	setMemory(p.settings)
	p.logger = log.With(p.logger, "vm", p.settings.VM)
	metrics := telemetry.NewSet()
	metrics.Gauge("ryeford_log_lines_dropped", func() float64 { return float64(p.queue.Dropped()) })
	return newGateway(p.settings, p.logger, metrics), nil
}

// newGateway returns a gateway that uses the store of its settings.
func newGateway(s *settings.Gateway, logger log.Logger, metrics *telemetry.Set) *gateway.Gateway {
	store := platform.NewStore(s.Store.AddrPort, s.Routing.StoreTimeout)
	return gateway.New(s, gateway.Platform{
		Protocol:       platform.Protocol{},
		Configurations: store,
		Endpoints:      store,
		Routers:        store,
		ReadyPath:      platform.PathReady,
	}, logger, metrics)
}

// setMemory limits the heap to its part of the memory of the settings.
func setMemory(s *settings.Gateway) {
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory) * megabyte))
}
