// Package freeport picks addresses of loopback for the servers that tests and
// `ryeford dev` start.
//
// A picked port is kept for its process by a second one, which the process holds for as
// long as it lives: other processes that pick ports here pass it over, also while no
// server listens on it yet or any more.
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

// Ports are picked below those that the kernel gives to outgoing connections (32,768 and
// above, as Linux is set), so that none is taken between the pick and its use.
const (
	firstPort = 20_000
	portCount = 6_000
	// reservationOffset is how far above a picked port the port lies that reserves it
	// among test processes that run side by side.
	reservationOffset = portCount
	// processStep lets processes that run side by side search from different ports. It is a
	// prime, so that processes with close ids meet late.
	processStep = 97
)

// picked counts the picks of this process.
var picked atomic.Int64

// reservations holds the sockets that reserve this process's ports, so that none is
// collected and closed.
var reservations sync.Map

// Next returns an address that is free for TCP and UDP, and that no other process has
// picked. It panics if no port is free.
func Next() netip.AddrPort {
	for range portCount {
		port := uint16(firstPort + (int64(os.Getpid())*processStep+picked.Add(1))%portCount)
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
		return false // another process, or an earlier pick of this one, has it
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

// isFree reports whether an address is free for TCP and UDP, as the kernel's tables of sockets say.
//
// It opens no socket to find that out: a process that is being started holds a copy of all open ones
// until it runs its own program, so that the address would stay in use after the socket is closed here.
// The runtime's ForkLock doesn't keep that apart: the kernel lets the starting process go on before it
// has closed the copies.
func isFree(address netip.AddrPort) bool {
	for _, table := range []string{"tcp", "tcp6", "udp", "udp6"} {
		if inUse(table, address.Port()) {
			return false
		}
	}
	return true
}

// inUse reports whether a socket of one of the kernel's tables has a local port. It panics if there is
// no such table.
func inUse(table string, port uint16) bool {
	content, err := os.ReadFile("/proc/self/net/" + table)
	if errors.Is(err, fs.ErrNotExist) && strings.HasSuffix(table, "6") {
		return false // a kernel without IPv6
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

// localAddress is the field of a socket's local address in a line of the kernel's tables.
const localAddress = 1
