package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// endpointFaults are what happens to endpoints that start. They strike beside the others, from a
// generator of their own, so that the kept seeds draw the same others as before them.
var endpointFaults = []fault{
	{"restart", "a server starts again under its name, by a clock that may have stepped back", affectsNone, affectsNone, (*injector).restart},
	{"malformed", "an entry by another writer takes the place of a server's, up to 1.5 s, or stands beside it", affectsNone, affectsNone, (*injector).malformed},
}

const (
	// endpointStream is the stream of a seed's random numbers from which endpointFaults are drawn.
	endpointStream = 1 << 17
	// maxBetweenEndpointFaults is the longest time between the beginnings of two endpointFaults.
	maxBetweenEndpointFaults = 3 * time.Second
	// startEpoch is the Unix time of the earliest start, in milliseconds, and startRange within how
	// many milliseconds of it starts lie.
	startEpoch, startRange = 1_700_000_000_000, 1_000_000
)

// restart makes a server tell of another start.
func (in *injector) restart(random *rand.Rand, _ int) {
	id := servers[random.IntN(len(servers))]
	in.applyState(id, stateReady, fmt.Sprintf(`{"server":%q,"state":%q,"cold_ms":%d,"born":%d}`,
		id, stateReady, random.IntN(2000), startEpoch+random.IntN(startRange)))
}

// malformedRows are values of entries that name no endpoint.
var malformedRows = []string{``, `{`, `[]`, `{"service":"plain"}`, `{"service":7,"address":[],"slots":"x"}`}

// malformed writes an entry that can't be used, and the server's own again.
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
