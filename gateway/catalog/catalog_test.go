package catalog

import (
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ryeford/ryeford"
)

// TestRoute checks that the longest prefix wins, and that a host's port and case are ignored.
func TestRoute(t *testing.T) {
	c := New(&ryeford.Configuration{Routes: []ryeford.RouteRule{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "x", Host: "a.example", Prefix: "/x/"},
		{Name: "xy", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/", "all"},
		{"a.example", "/x", "all"},
		{"a.example", "/x/", "x"},
		{"A.Example:8080", "/x/yz", "x"},
		{"a.example", "/x/y/z/1", "xy"},
		{"b.example", "/x/1", "other"},
		{"b.example", "/y/1", ""},
		{"c.example", "/x/1", ""},
		{"a.example", "no-slash", ""},
	} {
		got := ""
		if rule := c.Route(test.host, test.path); rule != nil {
			got = rule.Name
		}
		assert.Equal(t, got, test.want, "%s %s", test.host, test.path)
	}
}

// TestPriorities checks that the priorities of routes and client accounts are distinct and in descending order.
func TestPriorities(t *testing.T) {
	priority := ryeford.Priority(8)
	c := New(&ryeford.Configuration{
		Routes:   []ryeford.RouteRule{{Priority: 5}, {Priority: 9}, {Priority: 5}},
		Accounts: []ryeford.AccountRule{{Account: "a"}, {Account: "b", Priority: &priority}},
	})
	assert.DeepEqual(t, c.Priorities(), []ryeford.Priority{9, 8, 5})
}

// TestRouteLongest compares the choice of a route with a linear search.
func TestRouteLongest(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "b", "c"})
	rapid.Check(t, func(t *rapid.T) {
		configuration := &ryeford.Configuration{}
		for range rapid.IntRange(0, 8).Draw(t, "routes") {
			prefix := "/" + strings.Join(append(rapid.SliceOfN(segment, 0, 3).Draw(t, "prefix"), ""), "/")
			configuration.Routes = append(configuration.Routes, ryeford.RouteRule{Host: "h", Prefix: prefix})
		}
		path := "/" + strings.Join(rapid.SliceOfN(segment, 0, 12).Draw(t, "path"), "/")
		want := ""
		for _, rule := range configuration.Routes {
			if strings.HasPrefix(path, rule.Prefix) && len(rule.Prefix) > len(want) {
				want = rule.Prefix
			}
		}
		got := ""
		if rule := New(configuration).Route("h", path); rule != nil {
			got = rule.Prefix
		}
		assert.Equal(t, got, want)
	})
}

// TestAccounts checks that keys are needed with a list of accounts, even an empty one, and not without it.
func TestAccounts(t *testing.T) {
	open := New(&ryeford.Configuration{})
	assert.Assert(t, !open.RequiresKey())
	keyed := New(&ryeford.Configuration{Accounts: []ryeford.AccountRule{{Account: "bank", Keys: []string{"k"}}}})
	assert.Assert(t, keyed.RequiresKey())
	assert.Equal(t, keyed.Account("k").Account, ryeford.AccountID("bank"))
	assert.Assert(t, keyed.Account("") == nil)
	assert.Assert(t, New(&ryeford.Configuration{Accounts: []ryeford.AccountRule{}}).RequiresKey())
}

// TestCurrentNeverReverts checks that no older version comes into force when many goroutines put versions at once.
func TestCurrentNeverReverts(t *testing.T) {
	var current Current
	var group sync.WaitGroup
	for start := range 8 {
		group.Go(func() {
			last := int64(0)
			for version := int64(start); version < 1000; version += 7 {
				current.Put(New(&ryeford.Configuration{Version: version}))
				inForce := current.Get().Version()
				if inForce < last || inForce < version {
					t.Errorf("version %d in force after %d, %d put", inForce, last, version)
				}
				last = inForce
			}
		})
	}
	group.Wait()
	assert.Assert(t, !current.Put(New(&ryeford.Configuration{Version: 3})))
}
