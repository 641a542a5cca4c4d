// Package freeport picks addresses of loopback for the servers that tests and
// `ryeford dev` start.
//
// A picked port is kept for its process by a second one, which the process holds for as
// long as it lives: other processes that pick ports here pass it over, also while no
// server listens on it yet or any more.
package freeport

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
)

// Ports are picked below those that the kernel gives to outgoing connections (32,768 and
// above, as Linux is set), so that none is taken between the pick and its use: one of 50
// runs of the soak failed for that (seed 571411406).
const (
	firstPort = 20_000
	portCount = 6_000
	// reservationOffset is how far above a picked port the port lies that reserves it:
	// a run of CI beside other test processes failed when two had picked the same one
	// (docs/findings.md).
	reservationOffset = portCount
	// processStep lets processes that run side by side search from different ports. Not
	// measured; a prime, so that processes with close ids meet late.
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

// isFree reports whether an address is free for TCP and UDP.
//
// It starts no process while it holds the address: a process that is being started keeps
// a copy of all open sockets until it runs its own program, so the address would stay in
// use after this returns. Two soak tests of one CI run failed for that (docs/findings.md).
func isFree(address netip.AddrPort) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return false
	}
	defer func() { _ = tcp.Close() }()
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return false
	}
	_ = udp.Close()
	return true
}
