package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/freeport"
	"github.com/ryeford/ryeford/platform/wire"
	"github.com/ryeford/ryeford/settings"
	"github.com/ryeford/ryeford/standin/appserver"
	"github.com/ryeford/ryeford/standin/rowstore"
)

// streamEvents is the number of events of the streams of these tests.
const streamEvents = 6

// addVersion adds an endpoint of service model that runs a software version.
func (f *fixture) addVersion(id, version string) {
	f.t.Helper()
	server := f.addEndpoint("model", id, streamEvents)
	server.Software = version
	_, err := f.store.PutJSON(wire.TableEndpoints, id, wire.Endpoint{
		Service: "model", Address: f.addresses[id], FailureDomain: "a", Version: version, Slots: 64, State: wire.StateReady,
	})
	assert.NilError(f.t, err)
}

// versionOfEvent matches the version in the data of an event.
var versionOfEvent = regexp.MustCompile(`(?m)^data: event \d+ of (.*)$`)

// versionsOf returns the versions that have written the events of a stream, each once.
func versionsOf(stream string) []string {
	var versions []string
	for _, match := range versionOfEvent.FindAllStringSubmatch(stream, -1) {
		if !slices.Contains(versions, match[1]) {
			versions = append(versions, match[1])
		}
	}
	return versions
}

// takeUp sends a request that takes up a stream. last is the number of the last event that the caller has, and resumes
// the ID of the request that brought its first event.
func (f *fixture) takeUp(last int, resumes string) reply {
	f.t.Helper()
	request := f.request("POST", "/resume/a", "key-1", "")
	request.Header.Set(wire.HeaderRequestID, "take-up-"+strconv.Itoa(f.requests))
	request.Header.Set(wire.HeaderLastEvent, strconv.Itoa(last))
	request.Header.Set(wire.HeaderResumes, resumes)
	return f.do(request)
}

// breakOff reads the first event of a stream, closes the connection and returns the event.
func (f *fixture) breakOff(id string) string {
	f.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request := f.request("POST", "/resume/a", "key-1", "").WithContext(ctx)
	request.Header.Set(wire.HeaderRequestID, id)
	response, err := f.client.Do(request)
	assert.NilError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(f.t, response.StatusCode, http.StatusOK)
	reader := bufio.NewReader(response.Body)
	var event strings.Builder
	for !strings.HasSuffix(event.String(), "\n\n") {
		line, err := reader.ReadString('\n')
		assert.NilError(f.t, err)
		event.WriteString(line)
	}
	return event.String()
}

// versionedPeers starts n gateways that exchange gossip, before endpoints of each version, two of each.
func versionedPeers(t *testing.T, n int, versions ...string) []*fixture {
	t.Helper()
	store := rowstore.New()
	gateways := make([]*fixture, n)
	for i := range gateways {
		var config *wire.Configuration
		if i == 0 {
			config = baseConfiguration()
		}
		gateways[i] = newFixtureAt(t, store, config, func(s *settings.Gateway) {
			s.VM = ryeford.VMID("router-" + strconv.Itoa(i))
			s.Peers.AddrPort = freeport.Next()
			s.FirstStart = true
		})
	}
	for _, version := range versions {
		gateways[0].addVersion(version+"-a", version)
		gateways[0].addVersion(version+"-b", version)
	}
	for _, f := range gateways {
		f.awaitReady(true)
		f.awaitEndpoints(2 * len(versions))
		if n > 1 {
			f.awaitLog("decision=peers alive=" + strconv.Itoa(n-1))
		}
		f.awaitStreams(versions)
	}
	return gateways
}

// awaitStreams waits until new streams begin at each of the versions. A gateway sends none to a version that was
// listed a moment ago.
func (f *fixture) awaitStreams(versions []string) {
	f.t.Helper()
	began := make(map[string]bool)
	f.await("a stream of each version", func() bool {
		began[versionsOf(f.call("POST", "/resume/a").body)[0]] = true
		return len(began) == len(versions)
	})
}

// TestStreamContinuedAtOtherVersion guards against one answer that joins events of two software versions.
func TestStreamContinuedAtOtherVersion(t *testing.T) {
	f := newFixture(t, baseConfiguration(), nil)
	f.addVersion("old", "v1")
	f.addVersion("new-a", "v2")
	f.addVersion("new-b", "v2")
	f.awaitReady(true)
	f.awaitEndpoints(3)
	began := make(map[string]int)
	for range 24 {
		for _, server := range f.endpoints {
			server.SetFault(appserver.FaultNone, 0)
		}
		f.setFaults(appserver.FaultCut, 1)
		got := f.call("POST", "/resume/a")
		assert.Equal(t, got.status, http.StatusOK)
		versions := versionsOf(got.body)
		assert.Equal(t, len(versions), 1, "a stream of %v:\n%s", versions, got.body)
		began[versions[0]]++
		if versions[0] == "v1" {
			assert.Assert(t, got.err != nil, "a stream whose version has no other endpoint looks complete")
		}
	}
	assert.Assert(t, began["v1"] > 0 && began["v2"] > 0, "%v", began)
}

// TestStreamTakenUpAtOtherVersion guards against a stream that a caller takes up at an endpoint of another software
// version than the one that began it, and against one that is rejected although endpoints of its version serve.
func TestStreamTakenUpAtOtherVersion(t *testing.T) {
	for name, routers := range map[string][]int{
		"at the same router":              {0, 0},
		"at another router":               {0, 1},
		"again and again, at each router": {0, 1, 2, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			gateways := versionedPeers(t, 3, "v1", "v2")
			for i := range 12 {
				id := "stream-" + strconv.Itoa(i)
				stream := gateways[routers[0]].breakOff(id)
				for _, router := range routers[1:] {
					got := gateways[router].takeUp(1, id)
					assert.Equal(t, got.status, http.StatusOK)
					assert.Assert(t, got.err == nil || got.err == io.EOF, "%v", got.err)
					assert.Equal(t, len(versionsOf(stream+got.body)), 1, "%s", stream+got.body)
				}
			}
		})
	}
}

// TestUnknownStreamTakenUp guards against a stream of unknown software version that is sent to any endpoint while
// several versions serve.
func TestUnknownStreamTakenUp(t *testing.T) {
	gateways := versionedPeers(t, 2, "v1", "v2")
	stream := gateways[0].breakOff("known")
	for name, resumes := range map[string]string{
		"names no request":         "",
		"names an unknown request": "unknown",
		"names a long ID":          strings.Repeat("x", 4096),
		"names bytes, not text":    "\xff\xfe",
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			got := gateways[1].takeUp(1, resumes)
			t.Logf("rejected after %v", time.Since(began))
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			assert.Assert(t, got.header.Get("Retry-After") != "")
			assert.Equal(t, gateways[0].runs(got.id), 0)
		})
	}
	t.Run("names a request of another client account", func(t *testing.T) {
		request := gateways[1].request("POST", "/resume/a", "key-3", "")
		request.Header.Set(wire.HeaderRequestID, "other-account")
		request.Header.Set(wire.HeaderLastEvent, "1")
		request.Header.Set(wire.HeaderResumes, "known")
		assert.Equal(t, gateways[1].do(request).status, http.StatusServiceUnavailable)
	})
	got := gateways[1].takeUp(1, "known")
	assert.Equal(t, len(versionsOf(stream+got.body)), 1)
}

// TestStreamOfOnlyVersion guards against streams that are rejected although only one version has served.
func TestStreamOfOnlyVersion(t *testing.T) {
	gateways := versionedPeers(t, 2, "v1")
	for _, resumes := range []string{"", "unknown", "stream"} {
		stream := gateways[0].breakOff("stream")
		got := gateways[1].takeUp(1, resumes)
		assert.Equal(t, got.status, http.StatusOK, resumes)
		assert.Equal(t, len(versionsOf(stream+got.body)), 1)
	}
}
