package freeport

import (
	"net"
	"os"
	"os/exec"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// childVariable is set for the processes that TestNextBesideStarts starts, which end at
// once.
const childVariable = "RYEFORD_FREEPORT_CHILD"

// TestMain ends a process that TestNextBesideStarts has started.
func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// TestNextBesideStarts checks that a server can listen on a port as soon as it is picked,
// while this process starts others: a new process holds a copy of all sockets that are
// open when it is started, until it runs its own program. It fails with "address already
// in use" if such a copy keeps a probe of the port open.
func TestNextBesideStarts(t *testing.T) {
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
					startChild(t)
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

// startChild starts a process that ends at once, and waits for its end.
func startChild(t *testing.T) {
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), childVariable+"=1")
	if err := child.Run(); err != nil {
		t.Error(err)
	}
}
