package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// endpointFaults concern endpoints that start. They have a random generator of their own,
// so that other faults of a seed are drawn independently of them.
var endpointFaults = []fault{
	{"restart", "a server restarts under its name, with a clock that may have stepped back", affectsNone, affectsNone, (*injector).restart},
	{"malformed", "a malformed entry replaces a server's, up to 1.5 s, or is added to the list", affectsNone, affectsNone, (*injector).malformed},
}

const (
	// endpointStream is the stream of a seed's random numbers for endpointFaults.
	endpointStream = 1 << 17
	// maxBetweenEndpointFaults is the longest time between the starts of two
	// endpointFaults.
	maxBetweenEndpointFaults = 3 * time.Second
	// startEpoch is the Unix time of the earliest start, and startRange bounds the starts
	// after it, both in milliseconds.
	startEpoch, startRange = 1_700_000_000_000, 1_000_000
)

// restart makes a server report another start.
func (in *injector) restart(random *rand.Rand, _ int) {
	id := servers[random.IntN(len(servers))]
	in.applyState(id, stateReady, fmt.Sprintf(`{"server":%q,"state":%q,"cold_ms":%d,"born":%d}`,
		id, stateReady, random.IntN(2000), startEpoch+random.IntN(startRange)))
}

// malformedRows are values of entries that describe no endpoint.
var malformedRows = []string{``, `{`, `[]`, `{"service":"plain"}`, `{"service":7,"address":[],"slots":"x"}`}

// malformed writes an unusable entry under a new name and, in half of the cases, in place
// of a server's for some time.
func (in *injector) malformed(random *rand.Rand, _ int) {
	row := malformedRows[random.IntN(len(malformedRows))]
	in.post(fmt.Sprintf(`{"row":"stranger","value":%q}`, row))
	if random.IntN(2) == 0 {
		return
	}
	id := servers[random.IntN(len(servers))]
	in.applyState(id, stateGone, fmt.Sprintf(`{"row":%q,"value":%q}`, id, row))
	pause(random, maxServerFault)
	in.setState(id, stateReady)
}
