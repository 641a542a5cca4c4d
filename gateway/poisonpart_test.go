package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/platform/wire"
	"github.com/ryeford/ryeford/settings"
)

// These tests guard against a poison prompt part: whatever else a request with this part holds, it crashes each
// endpoint that runs it.

// poisonPart is the ID of the poison prompt part.
const poisonPart = "c0ffee"

// prompted sends a request with a body of its own whose prompt has the given shared parts and an own last part.
func (f *fixture) prompted(parts ...string) reply {
	f.t.Helper()
	request := f.request("POST", "/stream/a", "key-1", fmt.Sprintf("request %d of %p", f.requests, f))
	var prompt strings.Builder
	for _, part := range parts {
		fmt.Fprintf(&prompt, "%s:100,", part)
	}
	fmt.Fprintf(&prompt, "%x:10", 1<<20+f.requests)
	request.Header.Set(wire.HeaderPrompt, prompt.String())
	return f.do(request)
}

// crashesByPart returns the number of requests with poisonPart that endpoints have received.
func (f *fixture) crashesByPart() int {
	n := 0
	for _, server := range f.endpoints {
		for _, received := range server.Received() {
			if strings.Contains(received.Header.Get(wire.HeaderPrompt), poisonPart) {
				n++
			}
		}
	}
	return n
}

// TestPoisonPart checks that requests with a part that has crashed five endpoints reach at most three more, at any
// router, wherever in the prompt the part stands, though each request is new; and that requests with the other parts,
// even if these never came without it, are served.
func TestPoisonPart(t *testing.T) {
	const endpoints, contact, maxCrashes = 24, 500 * time.Millisecond, 5 + 3
	for name, parts := range map[string][]string{
		"first":        {poisonPart, "a1", "b1"},
		"in between":   {"a1", poisonPart, "b1"},
		"next to last": {"a1", "b1", poisonPart},
		"alone":        {poisonPart},
	} {
		t.Run(name, func(t *testing.T) {
			gateways := newPeers(t, 3, time.Hour, func(_ int, s *settings.Gateway) { s.Bounds.Contact = contact })
			first := gateways[0]
			for i := range endpoints {
				first.addEndpoint("model", fmt.Sprintf("m%d", i), 5).SetCrashPart(poisonPart)
			}
			for _, f := range gateways {
				f.awaitEndpoints(2 + endpoints)
			}
			for i := 0; first.crashesByPart() < 5 && i < 12; i++ {
				assert.Assert(t, gateways[i%len(gateways)].prompted(parts...).status != 200)
			}
			time.Sleep(contact)
			for i := range 8 * len(gateways) {
				got := gateways[i%len(gateways)].prompted(parts...)
				assert.NilError(t, got.err)
				assert.Assert(t, got.status == 502 || got.status == 503, "%d", got.status)
			}
			crashes := first.crashesByPart()
			assert.Assert(t, crashes <= maxCrashes, "%d requests crashed endpoints", crashes)
			for _, f := range gateways {
				assert.Equal(t, f.prompted("a1", "b1").status, 200)
				assert.Equal(t, f.prompted("b1").status, 200)
				assert.Equal(t, f.prompted("a1", "b2").status, 200)
			}
		})
	}
}

// TestQuarantinePartsOff checks that a router that holds no parts sends what a peer holds for a part, and still holds
// requests that are the same.
func TestQuarantinePartsOff(t *testing.T) {
	gateways := newPeers(t, 2, time.Hour, func(i int, s *settings.Gateway) { s.Routing.QuarantineParts = i == 0 })
	on, off := gateways[0], gateways[1]
	for i := range 12 {
		on.addEndpoint("model", fmt.Sprintf("m%d", i), 5).SetCrashPart(poisonPart)
	}
	on.awaitEndpoints(14)
	off.awaitEndpoints(14)
	on.await("a held part", func() bool { return on.prompted(poisonPart).status == 503 })
	before := on.crashesByPart()
	assert.Equal(t, off.prompted(poisonPart).status, 502)
	assert.Equal(t, on.crashesByPart(), before+1)
	on.quarantineCrashBody()
	off.await("a held request", func() bool { return off.do(off.request("POST", "/stream/a", "key-1", crashBody)).status == 503 })
}

// TestPoisonPartBehindPort guards against endpoints whose crash no closed port shows, because another process listens
// there at once.
func TestPoisonPartBehindPort(t *testing.T) {
	f := newFixture(t, baseConfiguration(), nil)
	const endpoints = 12
	for i := range endpoints {
		server := f.addEndpoint("model", fmt.Sprintf("m%d", i), 5)
		server.SetCrashPart(poisonPart)
		server.SetCrash(func() { server.ID = "next of " + server.ID }) // its requests are refused by the next one
	}
	f.awaitReady(true)
	f.awaitEndpoints(endpoints)
	held := func() bool {
		if f.prompted(poisonPart).status == 503 {
			return true
		}
		lost := f.crashesByPart()
		f.await("the charge of a crash", func() bool {
			f.prompted(fmt.Sprintf("%x", f.requests)) // a part of its own, which any endpoint serves
			return strings.Count(f.log.String(), "decision=request_crashed") >= lost
		})
		return false
	}
	f.await("a held part", held)
	assert.Assert(t, f.crashesByPart() <= 3, "%d endpoints crashed", f.crashesByPart())
}
