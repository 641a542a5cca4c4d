package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// poisonPart is the ID of the prompt part that crashes a server.
	poisonPart = "dead"
	// partPause bounds the pause between two requests with that part.
	partPause = 400 * time.Millisecond
	// maxHeldSound is the greatest share of sound requests that may be held.
	maxHeldSound = 0.05
)

// TestCrashingParts guards against a prompt part that crashes server after server in requests that are new each time, while
// gateways are killed and suspended and a server is lost for another reason, and against holding sound requests of the
// same account that share the other parts. Streams end with their connections.
func TestCrashingParts(t *testing.T) {
	const seed = 2
	f := newFleet(t, &basicPlan, 3)
	f.eventually("all have peers", f.peersAlive(2))
	assert.NilError(t, f.post(fmt.Sprintf(`{"crash_part":%q,"unframed":true}`, poisonPart)))
	c := &poisonSenders{fleet: f, until: time.Now().Add(poisonDuration)}
	var group sync.WaitGroup
	group.Go(func() { c.sendParts(rand.New(rand.NewPCG(seed, 0))) })
	sound := 0
	group.Go(func() { sound = c.sendSoundParts(rand.New(rand.NewPCG(seed, 1))) })
	random := rand.New(rand.NewPCG(seed, 2))
	for i := range f.gateways {
		time.Sleep(poisonDuration / 5)
		if i == 1 {
			suspend(random, f.gateways[i])
			continue
		}
		<-f.gateways[i].end(syscall.SIGKILL).done // the fleet restarts it
	}
	group.Wait()
	sent, ran, late := c.countRunsAfter(0, f.runs(), 5)
	t.Logf("%d sent, %d crashed a server, %d of them late; %d of %d sound ones held", sent, ran, late, len(c.held), sound)
	assert.Check(t, late <= maxLateRuns, "%d late", late)
	assert.Assert(t, ran >= 3, "only %d requests crashed a server", ran)
	assert.Assert(t, float64(len(c.held)) <= maxHeldSound*float64(sound), "%d of %d sound requests were held: %v", len(c.held), sound, c.held)
}

// suspend suspends a gateway for up to a second.
func suspend(random *rand.Rand, g *gateway) {
	p := g.current()
	p.signal(syscall.SIGSTOP)
	pause(random, time.Second)
	p.signal(syscall.SIGCONT)
}

// sendParts sends requests with the poison part, no two alike.
func (c *poisonSenders) sendParts(random *rand.Rand) {
	for n := 0; time.Now().Before(c.until); n++ {
		request := poisonRequest{id: fmt.Sprintf("part-%d", n)}
		parts := []string{"a1:900", "b2:400", poisonPart + ":30"}
		random.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
		prompt := fmt.Sprintf("%s,%s,%s,%x:10", parts[0], parts[1], parts[2], 1<<20+n)
		c.postRecorded(random, request, "/stream/parts", request.id, prompt)
		pause(random, partPause)
	}
}

// sendSoundParts sends requests that share the other parts. It returns their number.
func (c *poisonSenders) sendSoundParts(random *rand.Rand) int {
	n := 0
	for ; time.Now().Before(c.until); n++ {
		id := fmt.Sprintf("sound-%d", n)
		prompt := fmt.Sprintf("a1:900,%s:400,%x:10", []string{"b2", "c3", "d4"}[n%3], 1<<21+n)
		c.postSound(random, id, "/stream/parts", id, prompt)
		pause(random, partPause/8)
	}
	return n
}
