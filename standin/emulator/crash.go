package emulator

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/platform/wire"
)

// restartDelay is the time from the crash of an endpoint to its restart.
const restartDelay = time.Second

// runServer serves the i-th endpoint until ctx is done. A crash closes all connections of the
// endpoint. It is then restarted as a new incarnation after restartDelay.
func (e *Emulator) runServer(ctx context.Context, i int, listener net.Listener) error {
	for {
		server := &http.Server{Handler: e.withDate(e.servers[i])}
		e.servers[i].SetCrash(func() { _ = server.Close() })
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		_ = server.Serve(listener) // until it is closed
		stop()
		if !clock.Sleep(ctx, restartDelay) {
			return nil
		}
		var err error
		if listener, err = net.Listen("tcp", e.settings.Servers[i].Address.String()); err != nil {
			return err
		}
		if err := e.updateRow(i, &Change{State: wire.StateReady, Started: time.Now().UnixMilli()}); err != nil {
			return err
		}
	}
}
