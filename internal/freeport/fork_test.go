package freeport

import (
	"net"
	"os"
	"os/exec"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// childVariable is set in the environment of the child processes of TestNextDuringForks, which
// exit immediately.
const childVariable = "RYEFORD_FREEPORT_CHILD"

// TestMain exits immediately in a child process of TestNextDuringForks.
func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// TestNextDuringForks checks that a server can listen on a picked port immediately while this
// process starts others. It fails with "address already in use" if a forked child inherits a
// socket that was opened to probe the port.
func TestNextDuringForks(t *testing.T) {
	const starters, picks = 4, 400
	stop := make(chan struct{})
	var group sync.WaitGroup
	for range starters {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					runChild(t)
				}
			}
		})
	}
	defer group.Wait()
	defer close(stop)
	for range picks {
		address := Next()
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
		assert.NilError(t, err)
		_ = conn.Close()
		listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(Next()))
		assert.NilError(t, err)
		_ = listener.Close()
	}
}

// runChild runs a child process that exits immediately.
func runChild(t *testing.T) {
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), childVariable+"=1")
	if err := child.Run(); err != nil {
		t.Error(err)
	}
}
