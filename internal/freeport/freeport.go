// Package freeport picks loopback addresses for the servers that tests and `ryeford dev`
// start.
//
// Each picked port is reserved by a second port, on which the process keeps a socket open
// until it ends. Other processes that use this package then skip the picked port, even while
// no server listens on it.
package freeport

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
)

// Ports are picked below the kernel's ephemeral range (32768 and above by default on Linux),
// so that none is taken by an outgoing connection between the pick and its use.
const (
	firstPort = 20_000
	portCount = 6_000
	// reservationOffset is the distance from a picked port to the port that reserves it.
	reservationOffset = portCount
	// processStep separates the first ports that concurrent processes try. It is a prime, so
	// that processes with close IDs rarely try the same ports.
	processStep = 97
)

// tried counts the ports that this process has tried.
var tried atomic.Int64

// reservations holds the sockets that reserve this process's ports, by port. It keeps them
// from being garbage-collected and closed.
var reservations sync.Map

// Next returns an address that is free for TCP and UDP, and that no other process has
// picked. It panics if no port is free.
func Next() netip.AddrPort {
	for range portCount {
		port := uint16(firstPort + (int64(os.Getpid())*processStep+tried.Add(1))%portCount)
		if reserve(port) {
			return loopback(port)
		}
	}
	panic("freeport: no port is free")
}

// reserve reserves a port for this process, and reports whether it was free.
func reserve(port uint16) bool {
	reservation, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback(port+reservationOffset)))
	if err != nil {
		return false // reserved by another process or by an earlier pick
	}
	if !isFree(loopback(port)) {
		_ = reservation.Close()
		return false
	}
	reservations.Store(port, reservation)
	return true
}

func loopback(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
}

// isFree reports whether a port is free for TCP and UDP, according to the kernel's socket tables.
//
// It opens no socket: a forked child holds copies of all open sockets until its exec, so that
// the address would stay in use after the socket is closed here. The runtime's ForkLock doesn't
// prevent this, since the parent continues before the child's copies are closed.
func isFree(address netip.AddrPort) bool {
	for _, table := range []string{"tcp", "tcp6", "udp", "udp6"} {
		if inUse(table, address.Port()) {
			return false
		}
	}
	return true
}

// inUse reports whether a socket in one of the kernel's tables has the local port. It panics if the
// table can't be read.
func inUse(table string, port uint16) bool {
	content, err := os.ReadFile("/proc/self/net/" + table)
	if errors.Is(err, fs.ErrNotExist) && strings.HasSuffix(table, "6") {
		return false // the kernel lacks IPv6
	}
	if err != nil {
		panic(err)
	}
	suffix := fmt.Sprintf(":%04X", port)
	for line := range strings.Lines(string(content)) {
		if fields := strings.Fields(line); len(fields) > localAddress && strings.HasSuffix(fields[localAddress], suffix) {
			return true
		}
	}
	return false
}

// localAddress is the index of the local address among the fields of a line of the kernel's tables.
const localAddress = 1
