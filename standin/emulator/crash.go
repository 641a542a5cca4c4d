package emulator

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/platform/wire"
)

// crashTime is how long an endpoint is away that has crashed.
const crashTime = time.Second

// runServer serves the i-th endpoint until ctx ends. One that crashes breaks all its connections off, is
// away for crashTime, and starts again as another life.
func (e *Emulator) runServer(ctx context.Context, i int, listener net.Listener) error {
	for {
		server := &http.Server{Handler: e.dated(e.servers[i])}
		e.servers[i].SetCrash(func() { _ = server.Close() })
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		_ = server.Serve(listener) // until it is closed
		stop()
		if !clock.Sleep(ctx, crashTime) {
			return nil
		}
		var err error
		if listener, err = net.Listen("tcp", e.settings.Servers[i].Address.String()); err != nil {
			return err
		}
		if err := e.enter(i, &Change{State: wire.StateReady, Born: time.Now().UnixMilli()}); err != nil {
			return err
		}
	}
}
