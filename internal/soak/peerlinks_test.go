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
// lost, delayed and doubled on the way from one gateway to another.
//
// A gateway tells the others the address at which it listens, in the store and in each
// message. The relays put their own addresses in the place of these: in the store's
// calls (proxy.rewrite) and in the datagrams. So gateways know each other by relays only.
type peerLinks struct {
	mu     sync.Mutex
	ends   []*peerEnd
	faults map[peerLink]peerFault
}

// A peerEnd is a gateway's end of the links.
type peerEnd struct {
	address netip.AddrPort // the gateway's own address
	relay   netip.AddrPort // where the other gateways send to
	conn    *net.UDPConn   // of the relay
}

// A peerLink is the way from one gateway to another, by their indexes.
type peerLink struct {
	from, to int
}

// A peerFault is what is wrong with a link. The zero value is a link that works.
type peerFault struct {
	name   string
	loss   float64       // the part of the datagrams that is lost
	delay  time.Duration // the longest time by which a datagram is late
	copies int           // how often each datagram comes besides
}

// peerFaults are the faults that a seed draws from.
var peerFaults = []peerFault{
	{name: "cut", loss: 1},
	{name: "lossy", loss: 0.5},
	{name: "late", delay: 2 * time.Second},
	{name: "doubled", copies: 1, delay: 200 * time.Millisecond},
}

const (
	// maxDatagram is the largest datagram that a relay passes on, in bytes.
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

// set sets what is wrong with a link.
func (l *peerLinks) set(link peerLink, fault peerFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults == nil {
		l.faults = make(map[peerLink]peerFault)
	}
	l.faults[link] = fault
}

// clear mends all links.
func (l *peerLinks) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.faults)
}

// close ends all relays.
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
			continue // an earlier datagram found no receiver
		}
		fault, content := l.translate(to, source, bytes.Clone(buffer[:n]))
		if rand.Float64() < fault.loss {
			continue
		}
		for range 1 + fault.copies {
			time.AfterFunc(randomDelay(fault.delay), func() {
				// A gateway that is down receives nothing, as on a network.
				_, _ = end.conn.WriteToUDPAddrPort(content, end.address)
			})
		}
	}
}

// randomDelay draws by how much a datagram is late.
func randomDelay(limit time.Duration) time.Duration {
	if limit == 0 {
		return 0
	}
	return rand.N(limit)
}

// translate returns what is wrong with the link from a gateway, and a datagram in which
// the gateways' addresses are those that the receiver may know: its own, and the others'
// relays.
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

// wireAddress returns an address as it stands in a message: a byte string of CBOR.
func wireAddress(address netip.AddrPort) []byte {
	const byteString = 0x40 // the type, to which the length is added
	content, err := address.MarshalBinary()
	if err != nil {
		panic(err) // it never fails
	}
	return append([]byte{byteString + addressBytes}, content...)
}

// rewriteRow puts the relay's address in the place of the gateway's own in a call of
// the store that registers the gateway. The row's value is in base64, in which both
// addresses stand in whole groups of four: twelve bytes precede them, and each has 15.
func (e *peerEnd) rewriteRow(content []byte) []byte {
	return bytes.ReplaceAll(content, base64Address(e.address), base64Address(e.relay))
}

// base64Address returns an address in base64.
func base64Address(address netip.AddrPort) []byte {
	return []byte(base64.StdEncoding.EncodeToString([]byte(address.String())))
}
