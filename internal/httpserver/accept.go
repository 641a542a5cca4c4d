package httpserver

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/ryeford/ryeford/internal/clock"
)

// acceptRetryInterval is the time until a connection is accepted again after an error that may pass.
const acceptRetryInterval = 100 * time.Millisecond

// A retryingListener accepts again after errors that pass, such as a lack of descriptors: a server that gave up would
// end its process, or leave its callers waiting.
type retryingListener struct {
	net.Listener
	ctx context.Context // ends the retries
}

// Accept implements net.Listener.
func (l *retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || !passes(err) || !clock.Sleep(l.ctx, acceptRetryInterval) {
			return conn, err
		}
	}
}

// passes reports whether connections may be accepted later after an error.
func passes(err error) bool {
	for _, cause := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}
