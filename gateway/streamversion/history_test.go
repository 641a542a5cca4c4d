package streamversion

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// testLimits are the limits of these tests.
var testLimits = Limits{Memory: 10 * time.Second, Settle: 2 * time.Second, Records: 1000}

// A historyTest is a History whose list is confirmed each second.
type historyTest struct {
	*History
	now      time.Time
	versions []ryeford.SoftwareVersion
}

func newHistoryTest(firstStart bool, versions ...ryeford.SoftwareVersion) *historyTest {
	h := &historyTest{History: NewHistory(testLimits, firstStart), now: time.Unix(1000, 0), versions: versions}
	h.list(true)
	return h
}

// list makes the list that was read now hold the current versions.
func (h *historyTest) list(followed bool) {
	h.List(h.now, listOf(h.versions), followed)
	h.Confirm(h.now)
}

// listOf returns the list of a service "s" whose endpoints accept requests.
func listOf(versions []ryeford.SoftwareVersion) map[string]map[ryeford.SoftwareVersion]int {
	accepting := make(map[ryeford.SoftwareVersion]int)
	for _, version := range versions {
		accepting[version]++
	}
	return map[string]map[ryeford.SoftwareVersion]int{"s": accepting}
}

// pass lets time pass with confirmed lists.
func (h *historyTest) pass(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(time.Second)
		h.Confirm(h.now)
	}
}

// set changes the listed versions.
func (h *historyTest) set(versions ...ryeford.SoftwareVersion) {
	h.versions = versions
	h.list(true)
}

// only returns the version of Only, or "several".
func (h *historyTest) only() string {
	if version, ok := h.Only(h.now, "s"); ok {
		return string(version)
	}
	return "several"
}

// TestOnlyVersion guards against a stream that is taken up at the only version that a router knows though it may have
// begun at another one.
func TestOnlyVersion(t *testing.T) {
	for _, test := range []struct {
		name string
		play func(h *historyTest)
		want string
	}{
		{"one version since the fleet's first start", func(*historyTest) {}, "v1"},
		{"a second version, listed a moment ago", func(h *historyTest) { h.pass(time.Second); h.set("v1", "v2"); h.pass(time.Second) }, "v1"},
		{"a second version", func(h *historyTest) { h.pass(time.Second); h.set("v1", "v2"); h.pass(2 * time.Second) }, "several"},
		{"the first version has left", func(h *historyTest) { h.set("v2"); h.pass(12 * time.Second) }, "several"},
		{"the first version has left for longer than streams live", func(h *historyTest) { h.set("v2"); h.pass(13 * time.Second) }, "v2"},
		{"the list is old", func(h *historyTest) { h.now = h.now.Add(3 * time.Second) }, "several"},
		{"the list was old, and has all changes", func(h *historyTest) { h.now = h.now.Add(time.Minute); h.list(true) }, "v1"},
		{"the list was old, and lacks changes", func(h *historyTest) { h.now = h.now.Add(time.Minute); h.list(false) }, "several"},
		{"the list lacked changes, long ago", func(h *historyTest) { h.now = h.now.Add(time.Minute); h.list(false); h.pass(12 * time.Second) }, "v1"},
		{"the list lacks changes of a moment", func(h *historyTest) { h.now = h.now.Add(time.Second); h.list(false) }, "v1"},
		{"the first version has left at once, before the second has settled", func(h *historyTest) { h.pass(time.Second); h.set("v2") }, "several"},
		{"the list was old, lacks changes, and is confirmed as of before too", func(h *historyTest) {
			before := h.now
			h.now = h.now.Add(time.Minute)
			h.List(h.now, listOf(h.versions), false)
			h.Confirm(before)
			h.Confirm(h.now)
		}, "several"},
		{"an endpoint of unknown version", func(h *historyTest) { h.pass(time.Second); h.set("v1", ""); h.pass(2 * time.Second) }, "several"},
		{"only endpoints of unknown version", func(h *historyTest) { h.set(""); h.pass(time.Minute) }, "several"},
		{"no endpoint", func(h *historyTest) { h.set(); h.pass(time.Minute) }, "several"},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHistoryTest(true, "v1")
			test.play(h)
			assert.Equal(t, h.only(), test.want)
		})
	}
}

// TestOnlyVersionAfterRestart guards against a router that relies on the versions that it has seen since it started,
// though streams may be older, and against one that doesn't use what a peer knows.
func TestOnlyVersionAfterRestart(t *testing.T) {
	h := newHistoryTest(false, "v1")
	assert.Equal(t, h.only(), "several")
	h.Adopt(h.now, "s", "v1")
	assert.Equal(t, h.only(), "several", "the peer's list may be older than this router's first one")
	h.pass(2 * time.Second)
	h.Adopt(h.now, "s", "v2")
	assert.Equal(t, h.only(), "several")
	h.Adopt(h.now, "s", "v1")
	assert.Equal(t, h.only(), "v1")
	h.now = h.now.Add(time.Minute)
	h.list(false)
	assert.Equal(t, h.only(), "several", "a peer's proof doesn't cover a later gap")
	h.pass(12 * time.Second)
	assert.Equal(t, h.only(), "v1")
}

// TestNewStreams guards against streams that begin at a version that other routers may not know of yet, and against
// requests that are rejected because all versions are new or unknown.
func TestNewStreams(t *testing.T) {
	h := newHistoryTest(true, "v1")
	allows := func(version ryeford.SoftwareVersion) bool { return h.NewStreams(h.now, "s").Allows(version) }
	assert.Assert(t, allows("v1"))
	assert.Assert(t, !allows("v2"), "a version that is listed only now")
	h.pass(time.Second)
	h.set("v1", "v2")
	assert.Assert(t, allows("v1") && !allows("v2"))
	h.set("v2")
	assert.Assert(t, allows("v2"), "no other version is left")
	h.set("v1", "v2")
	h.pass(2 * time.Second)
	h.set("v1", "v2", "v3")
	assert.Assert(t, allows("v1") && allows("v2") && allows("v3"), "no router takes one of two versions for the only one")
	h = newHistoryTest(true, "v1")
	h.set("v2")
	h.pass(10 * time.Second)
	h.set("v1", "v2")
	assert.Assert(t, !allows("v1"), "other routers may have forgotten it")
	h.pass(2 * time.Second)
	assert.Assert(t, allows("v1"))
	h = newHistoryTest(true, "v1")
	h.pass(time.Second)
	h.List(h.now, map[string]map[ryeford.SoftwareVersion]int{"s": {"v1": 0, "v2": 1}}, true)
	assert.Assert(t, h.NewStreams(h.now, "s").Allows("v2"), "the endpoints of the settled version leave")
	assert.Equal(t, h.only(), "several")
	h.set("")
	h.pass(time.Minute)
	assert.Assert(t, h.NewStreams(h.now, "s").Allows(""))
	assert.Assert(t, h.NewStreams(h.now, "other").Allows("v1"))
}
