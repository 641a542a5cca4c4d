package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// evacuationFaults have a random generator of their own, so that other faults of a seed are
// drawn independently of them.
var evacuationFaults = []fault{
	{"evacuation", "a failure domain is evacuated for 2 to 4 s, longer than evacuationBound", affectsNone, affectsNone, (*injector).evacuate},
}

const (
	// evacuationStream is the stream of a seed's random numbers for evacuationFaults.
	evacuationStream = 1 << 19
	// maxBetweenEvacuations is the longest time between the starts of two evacuationFaults.
	maxBetweenEvacuations = 6 * time.Second
	minEvacuation         = 2 * time.Second
	maxEvacuation         = 2 * time.Second // in addition to minEvacuation
	// evacuationBound is the time within which gateways must apply an evacuation. It is
	// bounds.configuration of seriesPlan, the longer of the two plans'.
	evacuationBound = 3 * time.Second
)

// An evacuation is a time in which evacuatedDomain was evacuated.
type evacuation struct {
	accepted  time.Time // when the store had accepted the order
	withdrawn time.Time // when the withdrawal was sent
}

// evacuate evacuates a failure domain for some time. Evacuations do not overlap.
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

// checkEvacuated checks that no call was sent to a server of an evacuated failure domain
// later than evacuationBound after the order, also during a restore of the store.
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
