// Package standin plays the systems around the fleet with agents, for tests, for
// measurements and for `ryeford dev`. Each stand-in has faults that a test sets
// while it runs, by PathFault; engines and services answer with their runs, by PathRuns.
//
//   - platform: the table, the object store and the list of VMs, by the protocol of
//     agentfleet/tableservice.
//   - engine: a model engine, by the protocol of agentfleet/engine.
//   - service: a plain HTTP service.
//   - link: a network path that loses, repeats, delays and cuts UDP datagrams.
//
// The stand-in of the users' platform, which the gateway runs on, is
// standin/emulator with rowstore and appserver; Run starts it as well.
//
// The package owns the state of what it plays, in memory, and a file for that of
// the platform. It relies on the types of the protocols that it plays.
package standin

import (
	"context"
	"os"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"github.com/ryeford/ryeford/settings"
	"github.com/ryeford/ryeford/standin/emulator"
)

// Run runs all stand-ins of the settings until ctx ends.
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

// An Error is a failure of a stand-in.
type Error struct {
	Op  string
	Err error
}

func (e *Error) Error() string { return "stand-in: " + e.Op + ": " + e.Err.Error() }

func (e *Error) Unwrap() error { return e.Err }
