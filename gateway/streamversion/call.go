package streamversion

import (
	"net/netip"
	"time"
)

// resendIntervals are the times after which a call is sent again to the peers that have not replied, and after the
// last of which it ends. A reply takes some milliseconds, or longer from a peer that is slow.
var resendIntervals = [...]time.Duration{10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond, 200 * time.Millisecond}

// A reply is a peer's reply to a call.
type reply struct {
	peer netip.AddrPort
	message
}

// A call is a message to several peers that each of them answers. Its fields are guarded by Tracker.mu.
type call struct {
	number  uint64
	message message
	peers   []netip.AddrPort
	waiting map[netip.AddrPort]bool // peers that have not replied
	replies []reply
	resent  int
	timer   *time.Timer
	// onReply is called after each reply, with Tracker.mu held.
	onReply func()
}

// startCall sends a message to peers. t.mu is held.
func (t *Tracker) startCall(m message, peers []netip.AddrPort, onReply func()) *call {
	t.lastCall++
	m.Sender, m.Call = t.self, t.lastCall
	c := &call{number: t.lastCall, message: m, peers: peers, waiting: make(map[netip.AddrPort]bool, len(peers)), onReply: onReply}
	for _, peer := range peers {
		c.waiting[peer] = true
	}
	if len(peers) == 0 {
		return c
	}
	t.calls[c.number] = c
	t.sendWaiting(c)
	t.scheduleResend(c)
	return c
}

// sendWaiting sends a call to the peers that have not replied. t.mu is held.
func (t *Tracker) sendWaiting(c *call) {
	for _, peer := range c.peers {
		if c.waiting[peer] {
			t.sendTo(peer, &c.message)
		}
	}
}

// scheduleResend schedules the next time that a call is sent again, or its end. t.mu is held.
func (t *Tracker) scheduleResend(c *call) {
	c.timer = time.AfterFunc(resendIntervals[c.resent], func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.calls[c.number] != c {
			return
		}
		if c.resent++; c.resent == len(resendIntervals) {
			t.endCall(c)
			return
		}
		t.sendWaiting(c)
		t.scheduleResend(c)
	})
}

// endCall ends a call: later replies are ignored. t.mu is held.
func (t *Tracker) endCall(c *call) {
	if c.timer != nil {
		c.timer.Stop()
	}
	delete(t.calls, c.number)
}

// receiveReply records a reply. t.mu is held.
func (t *Tracker) receiveReply(m *message) {
	c := t.calls[m.Call]
	if c == nil || !c.waiting[m.Sender] {
		return
	}
	delete(c.waiting, m.Sender)
	c.replies = append(c.replies, reply{peer: m.Sender, message: *m})
	if len(c.waiting) == 0 {
		t.endCall(c)
	}
	c.onReply()
}
