// Package standin provides stand-ins for the systems around the fleet with agents, for tests,
// measurements and `ryeford dev`. Tests set faults of a running stand-in at PathFault, and
// read the runs of engines and services at PathRuns.
//
//   - platform: the table, the object store and the list of VMs, with the protocol of
//     agentfleet/tableservice.
//   - engine: a model engine, with the protocol of agentfleet/engine.
//   - service: a plain HTTP service.
//   - link: a network path that loses, repeats, delays and drops UDP datagrams.
//
// The stand-in for the users' platform, on which the gateway runs, is standin/emulator with
// rowstore and appserver. Run starts it as well.
//
// All state is in memory, except that of the platform, which can be saved in a file.
package standin

import (
	"context"
	"os"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"github.com/ryeford/ryeford/settings"
	"github.com/ryeford/ryeford/standin/emulator"
)

// Run runs all stand-ins of the settings until ctx is done or one of them fails.
func Run(ctx context.Context, s *settings.Standin, logger log.Logger) error {
	group, ctx := errgroup.WithContext(ctx)
	if s.Platform != nil {
		p, err := newPlatform(s.Platform, logger)
		if err != nil {
			return err
		}
		group.Go(func() error { return listenAndServe(ctx, s.Platform.Address, p.serve) })
	}
	for i := range s.Engines {
		e := newEngine(&s.Engines[i])
		group.Go(func() error { return listenAndServe(ctx, s.Engines[i].Address, e.serve) })
	}
	for i := range s.Services {
		service := &service{delay: s.Services[i].Delay}
		group.Go(func() error { return listenAndServe(ctx, s.Services[i].Address, service.serve) })
	}
	for i := range s.Links {
		link, err := newLink(&s.Links[i])
		if err != nil {
			return err
		}
		group.Go(func() error { return link.run(ctx) })
		group.Go(func() error { return listenAndServe(ctx, s.Links[i].Admin, link.serve) })
	}
	if s.Emulator != nil {
		e, err := newEmulator(s.Emulator)
		if err != nil {
			return err
		}
		group.Go(func() error { return e.Run(ctx) })
	}
	_ = logger.Log("msg", "stand-ins ready", "engines", len(s.Engines), "services", len(s.Services), "links", len(s.Links))
	return group.Wait()
}

func newEmulator(s *settings.Emulator) (*emulator.Emulator, error) {
	if s.Configuration == "" {
		return emulator.New(s, nil), nil
	}
	configuration, err := os.ReadFile(s.Configuration)
	if err != nil {
		return nil, &Error{Op: "read the configuration", Err: err}
	}
	return emulator.New(s, configuration), nil
}

// An Error reports a failed operation of a stand-in.
type Error struct {
	Op  string
	Err error
}

func (e *Error) Error() string { return "stand-in: " + e.Op + ": " + e.Err.Error() }

func (e *Error) Unwrap() error { return e.Err }
