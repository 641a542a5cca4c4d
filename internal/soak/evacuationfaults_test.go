package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// evacuationFaults strike beside the others, from a generator of their own, so that the kept seeds draw
// the same others as before them.
var evacuationFaults = []fault{
	{"evacuation", "a failure domain is evacuated for 2 to 4 s, longer than evacuationBound", affectsNone, affectsNone, (*injector).evacuate},
}

const (
	// evacuationStream is the stream of a seed's random numbers from which evacuationFaults are drawn.
	evacuationStream = 1 << 19
	// maxBetweenEvacuations is the longest time between the beginnings of two evacuationFaults.
	maxBetweenEvacuations = 6 * time.Second
	minEvacuation         = 2 * time.Second
	maxEvacuation         = 2 * time.Second // beyond the least
	// evacuationBound is bounds.configuration of seriesPlan, which is the longer one, for both plans.
	evacuationBound = 3 * time.Second
)

// An evacuated is a time in which evacuatedDomain was evacuated.
type evacuation struct {
	accepted  time.Time // the order
	withdrawn time.Time // when its withdrawal was sent
}

// evacuate evacuates a failure domain for some time. Evacuations come one after the other.
func (in *injector) evacuate(random *rand.Rand, _ int) {
	in.evacuating.Lock()
	defer in.evacuating.Unlock()
	in.post(fmt.Sprintf(`{"evacuate":%q}`, evacuatedDomain))
	accepted := time.Now()
	time.Sleep(minEvacuation)
	pause(random, maxEvacuation)
	in.mu.Lock()
	in.evacuations = append(in.evacuations, evacuation{accepted: accepted, withdrawn: time.Now()})
	in.mu.Unlock()
	in.post(fmt.Sprintf(`{"withdraw":%q}`, evacuatedDomain))
}

// checkEvacuated checks that no call was sent to a server of an evacuated failure domain later than
// evacuationBound after the order, also while the store was restored.
func checkEvacuated(c *call, record *runRecord) string {
	if c.server == "" || domainOf(c.server) != evacuatedDomain || !record.inTouchIgnoringRestores(c) {
		return ""
	}
	for _, e := range record.evacuations {
		since := record.durableSince(e.accepted, evacuationBound)
		late := c.sent.Sub(since) - evacuationBound - record.stalls.between(since, c.sent)
		if late > 0 && c.ended.Before(e.withdrawn) {
			return fmt.Sprintf("answered by %s, whose failure domain had been evacuated for %s when it was sent", c.server, c.sent.Sub(since))
		}
	}
	return ""
}
