package soak

import (
	"bytes"
	"encoding/base64"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/ryeford/ryeford/internal/freeport"
)

// peerLinks relay the gossip between the gateways of a fleet, so that datagrams can be
// lost, delayed and duplicated on the way from one gateway to another.
//
// A gateway announces its address in the store and in each message. The relays replace it
// by their own, in calls of the store (proxy.rewrite) and in datagrams, so that gateways
// reach each other only through relays.
type peerLinks struct {
	mu     sync.Mutex
	ends   []*peerEnd
	faults map[peerLink]peerFault
}

// A peerEnd is a gateway's end of the links.
type peerEnd struct {
	address netip.AddrPort // the gateway's own address
	relay   netip.AddrPort // where the other gateways send to
	conn    *net.UDPConn   // the relay's socket
}

// A peerLink is the direction from one gateway to another, by index in the fleet.
type peerLink struct {
	from, to int
}

// A peerFault is a fault of a link. The zero value is a working link.
type peerFault struct {
	name   string
	loss   float64       // fraction of the datagrams that are dropped
	delay  time.Duration // maximum delay of a datagram
	copies int           // duplicates of each datagram
}

// peerFaults are the faults that a seed draws from.
var peerFaults = []peerFault{
	{name: "cut", loss: 1},
	{name: "lossy", loss: 0.5},
	{name: "late", delay: 2 * time.Second},
	{name: "doubled", copies: 1, delay: 200 * time.Millisecond},
}

const (
	// maxDatagram is the largest datagram that is relayed, in bytes.
	maxDatagram = 64 << 10
	// addressBytes is the size of an address in a message: four bytes and the port.
	addressBytes = 6
)

// add adds a gateway and starts its relay.
func (l *peerLinks) add() (*peerEnd, error) {
	end := &peerEnd{address: freeport.Next(), relay: freeport.Next()}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(end.relay))
	if err != nil {
		return nil, err
	}
	end.conn = conn
	l.mu.Lock()
	to := len(l.ends)
	l.ends = append(l.ends, end)
	l.mu.Unlock()
	go l.run(to, end)
	return end, nil
}

// set sets the fault of a link.
func (l *peerLinks) set(link peerLink, fault peerFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults == nil {
		l.faults = make(map[peerLink]peerFault)
	}
	l.faults[link] = fault
}

// clear removes the faults of all links.
func (l *peerLinks) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.faults)
}

// close closes all relays.
func (l *peerLinks) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, end := range l.ends {
		_ = end.conn.Close()
	}
}

// run relays datagrams to one gateway until its relay is closed.
func (l *peerLinks) run(to int, end *peerEnd) {
	buffer := make([]byte, maxDatagram)
	for {
		n, source, err := end.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an earlier datagram was undeliverable
		}
		fault, content := l.translate(to, source, bytes.Clone(buffer[:n]))
		if rand.Float64() < fault.loss {
			continue
		}
		for range 1 + fault.copies {
			time.AfterFunc(randomDelay(fault.delay), func() {
				// As on a network, a gateway that is down receives nothing.
				_, _ = end.conn.WriteToUDPAddrPort(content, end.address)
			})
		}
	}
}

// randomDelay returns a random delay below limit.
func randomDelay(limit time.Duration) time.Duration {
	if limit == 0 {
		return 0
	}
	return rand.N(limit)
}

// translate returns the fault of the link from the source, and the datagram with the
// addresses that the receiver may see: its own, and the relays of the others.
func (l *peerLinks) translate(to int, source netip.AddrPort, content []byte) (peerFault, []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var fault peerFault
	for i, end := range l.ends {
		if end.address == source {
			fault = l.faults[peerLink{from: i, to: to}]
		}
		hidden, visible := end.address, end.relay
		if i == to {
			hidden, visible = visible, hidden
		}
		content = bytes.ReplaceAll(content, wireAddress(hidden), wireAddress(visible))
	}
	return fault, content
}

// wireAddress returns an address as encoded in a message: a CBOR byte string.
func wireAddress(address netip.AddrPort) []byte {
	const byteString = 0x40 // the major type, to which the length is added
	content, err := address.MarshalBinary()
	if err != nil {
		panic(err) // can't fail
	}
	return append([]byte{byteString + addressBytes}, content...)
}

// rewriteRow replaces the gateway's own address by the relay's in the call of the store
// that registers the gateway. The row's value is in base64. Both addresses are aligned to
// its groups of three bytes: they start at byte 12 and have 15 bytes each.
func (e *peerEnd) rewriteRow(content []byte) []byte {
	return bytes.ReplaceAll(content, base64Address(e.address), base64Address(e.relay))
}

func base64Address(address netip.AddrPort) []byte {
	return []byte(base64.StdEncoding.EncodeToString([]byte(address.String())))
}
