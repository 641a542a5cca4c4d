package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// versionCallers take streams up, versionDuration long.
	versionCallers  = 10
	versionDuration = 12 * time.Second
	versionGateways = 4
	// releasePause is the time between two steps of a release.
	releasePause = 300 * time.Millisecond
	// maxTakeUps is how often a caller takes a stream up at most.
	maxTakeUps = 3
	// minGoOn is the share of the streams that have to go on when they are taken up, relative to the share of new
	// streams that begin. Some are taken up at gateways that are cut off, or right after the only gateway that knew
	// them was killed.
	minGoOn = 0.5
)

// keptVersionSeeds are the seeds that every run of TestSoakVersions plays.
var keptVersionSeeds = []keptSeed{{seed: 1}, {seed: 2}}

// versionsPlan has releases of a service's software.
var versionsPlan = plan{
	bounds: basicPlan.bounds, initial: basicPlan.initial, checks: nil, profiles: basicPlan.profiles,
	faults:   func(*rand.Rand) []fault { return versionFaults },
	versions: []string{"v1", "v2", "v3"},
}

// versionFaults are the faults amid the releases.
var versionFaults = []fault{
	{"kill", "kill a gateway; it is restarted", affectsGateway, affectsGateway, (*injector).kill},
	{"kill", "the same", affectsGateway, affectsGateway, (*injector).kill},
	{"stop", "a planned stop of a gateway", affectsNone, affectsGateway, (*injector).stop},
	{"freeze", "SIGSTOP to a gateway, SIGCONT after up to 3 s", affectsGateway, affectsGateway, (*injector).freeze},
	{"link", "a gateway's link to the store is impaired", affectsNone, affectsGateway, (*injector).link},
	{"store", "the store misbehaves", affectsNone, affectsAll, (*injector).store},
}

// TestSoakVersions guards against a stream of two software versions, and against streams that are rejected although
// endpoints of their version serve, in releases amid killed, frozen and cut off gateways.
func TestSoakVersions(t *testing.T) {
	if testing.Short() {
		t.Skip("each run takes about fifteen seconds")
	}
	running := make(chan struct{}, parallelRuns)
	for _, seed := range seeds(t, keptVersionSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			playVersions(t, seed)
		})
	}
}

func playVersions(t *testing.T, seed uint64) {
	f := newFleet(t, &versionsPlan, versionGateways)
	in := newInjector(f, &versionsPlan)
	v := &versionCallersRun{fleet: f}
	until := time.Now().Add(versionDuration)
	var group sync.WaitGroup
	for i := range versionCallers {
		group.Go(func() { v.run(rand.New(rand.NewPCG(seed, uint64(i))), i, until) })
	}
	group.Go(func() { in.injectFaults(rand.New(rand.NewPCG(seed, 1000)), versionFaults, time.Second) })
	f.release("v1", "v2")
	f.release("v2", "v3")
	group.Wait()
	in.group.Wait()
	v.check(t)
}

// release replaces the servers of a version by those of another one, step by step.
func (f *fleet) release(from, to string) {
	old := versionServers(from)
	for i, id := range versionServers(to) {
		_ = f.post(serverState(id, stateReady)) // the emulator's admin address is not disturbed by faults
		time.Sleep(3 * releasePause)
		_ = f.post(serverState(old[i], stateDraining))
		time.Sleep(releasePause)
	}
	time.Sleep(2 * time.Second)
	for _, id := range old {
		_ = f.post(serverState(id, stateGone))
	}
}

// versionCallersRun are the callers of one run, and what they have seen.
type versionCallersRun struct {
	fleet *fleet

	mu             sync.Mutex
	sent, begun    int
	takenUp, goOn  int
	joined         []string // streams that hold events of two versions
	missing, again []string // streams that lack an event, or have one twice
}

// run begins streams until a time, breaks them off and takes them up at other gateways.
func (v *versionCallersRun) run(random *rand.Rand, caller int, until time.Time) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; time.Now().Before(until); n++ {
		first := fmt.Sprintf("v%d-%d", caller, n)
		stream := &resumedStream{id: first}
		answered := v.read(client, random, first, stream)
		v.count(answered, stream.last > 0, &v.sent, &v.begun)
		for try := 0; try < maxTakeUps && stream.last > 0 && !stream.complete; try++ {
			before := stream.last
			time.Sleep(time.Duration(random.Int64N(int64(100 * time.Millisecond))))
			answered := v.read(client, random, fmt.Sprintf("%s-%d", first, try), stream)
			v.count(answered, stream.last > before, &v.takenUp, &v.goOn)
		}
		v.mu.Lock()
		if len(stream.versions) > 1 {
			v.joined = append(v.joined, fmt.Sprintf("%s: %v", stream.id, stream.versions))
		}
		v.missing, v.again = append(v.missing, stream.missing...), append(v.again, stream.again...)
		v.mu.Unlock()
	}
}

// count counts a request that a gateway has answered.
func (v *versionCallersRun) count(answered, goesOn bool, all, going *int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if answered {
		*all++
	}
	if goesOn {
		*going++
	}
}

// A resumedStream is what a caller has of one stream.
type resumedStream struct {
	id             string // of the request that brought the first event
	last           int    // number of the last event
	complete       bool
	versions       []string
	missing, again []string
}

// add adds the data of an event.
func (s *resumedStream) add(event int, version string) {
	switch {
	case event > s.last+1:
		s.missing = append(s.missing, fmt.Sprintf("%s: %d after %d", s.id, event, s.last))
	case event <= s.last:
		s.again = append(s.again, fmt.Sprintf("%s: %d after %d", s.id, event, s.last))
	}
	s.last, s.complete = event, event == streamEvents
	if len(s.versions) == 0 || s.versions[len(s.versions)-1] != version {
		s.versions = append(s.versions, version)
	}
}

// read sends a request that begins a stream or takes it up, and reads a part of it. It reports whether the gateway
// has answered.
func (v *versionCallersRun) read(client *http.Client, random *rand.Rand, id string, stream *resumedStream) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	gateway := v.fleet.gateways[random.IntN(len(v.fleet.gateways))]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway.callers+"/"+routeResume+"/x", strings.NewReader("body"))
	if err != nil {
		return false
	}
	request.Host = host
	request.Header.Set("Ryeford-Request-Id", id)
	request.Header.Set("Ryeford-Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+firstKey)
	if stream.last > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(stream.last))
		request.Header.Set("Resumes", stream.id)
	}
	wanted := 1 + random.IntN(streamEvents)
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return true
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() && wanted > 0 {
		var event int
		var version string
		if n, _ := fmt.Sscanf(lines.Text(), "data: event %d of %s", &event, &version); n == 2 {
			stream.add(event, version)
			wanted--
		}
	}
	return true
}

// check checks what the callers have seen.
func (v *versionCallersRun) check(t *testing.T) {
	begin, goOn := float64(v.begun)/float64(v.sent), float64(v.goOn)/float64(max(1, v.takenUp))
	t.Logf("%d of %d streams begun, %d of %d taken up went on: %.3f of the share of new ones", v.begun, v.sent, v.goOn, v.takenUp, goOn/begin)
	assert.Equal(t, len(v.joined), 0, "%v", v.joined)
	assert.Equal(t, len(v.missing), 0, "%v", v.missing)
	assert.Equal(t, len(v.again), 0, "%v", v.again)
	assert.Assert(t, v.takenUp > 100, "%d", v.takenUp)
	assert.Assert(t, goOn >= minGoOn*begin)
}
