// Package freeport picks addresses of loopback for the servers that tests and
// `ryeford dev` start.
// It owns no port: an address is free when it is picked, and nothing keeps it so.
package freeport

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// Ports are picked below those that the kernel gives to outgoing connections (32,768 and
// above, as Linux is set), so that none is taken between the pick and its use: one of 50
// runs of the soak failed for that (seed 571411406).
const (
	firstPort = 20_000
	portCount = 12_000
	// processStep keeps the picks of processes that run side by side apart. Not
	// measured; a prime, so that processes with close ids meet late.
	processStep = 97
)

// picked counts the picks of this process.
var picked atomic.Int64

// Next returns an address that is free for TCP and UDP, and that this process has
// not picked for a long time. It panics if no port is free.
func Next() netip.AddrPort {
	for range portCount {
		port := firstPort + (int64(os.Getpid())*processStep+picked.Add(1))%portCount
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
		if isFree(address) {
			return address
		}
	}
	panic("freeport: no port is free")
}

// isFree reports whether an address is free for TCP and UDP.
func isFree(address netip.AddrPort) bool {
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
