// Package catalog looks up the route of a request and the client account of a key in the operators'
// configuration.
//
// It holds the configuration in force. Callers must not change a configuration that they have passed in. The
// package does no I/O.
package catalog

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/ryeford/ryeford"
)

// A Catalog is an immutable index of one configuration. It is safe for concurrent use.
type Catalog struct {
	configuration *ryeford.Configuration
	hosts         map[string]*hostRoutes
	accounts      map[string]*ryeford.AccountRule // by key
	services      map[string]*ryeford.ServiceRule
	priorities    []ryeford.Priority       // in descending order
	goals         map[string]time.Duration // shortest goal by service
	// longestStream is the longest timeout of the routes whose streams may be continued, and unlimitedStreams whether
	// one of them has none.
	longestStream    time.Duration
	unlimitedStreams bool
}

type hostRoutes struct {
	byPrefix map[string]*ryeford.RouteRule
	longest  int // length of the longest prefix, in bytes
}

// New returns the Catalog of a configuration, which must not be changed afterwards.
func New(configuration *ryeford.Configuration) *Catalog {
	c := &Catalog{
		configuration: configuration,
		hosts:         make(map[string]*hostRoutes),
		accounts:      make(map[string]*ryeford.AccountRule, len(configuration.Accounts)),
		services:      make(map[string]*ryeford.ServiceRule, len(configuration.Services)),
	}
	for i := range configuration.Routes {
		rule := &configuration.Routes[i]
		c.host(rule.Host).add(rule)
	}
	for i := range configuration.Accounts {
		account := &configuration.Accounts[i]
		for _, key := range account.Keys {
			c.accounts[key] = account
		}
	}
	for i := range configuration.Services {
		c.services[configuration.Services[i].Name] = &configuration.Services[i]
	}
	c.priorities = prioritiesOf(configuration)
	c.goals = shortestGoals(configuration)
	c.setStreams()
	return c
}

// LongestStream returns the longest timeout of the routes whose streams may be continued. Routes without a timeout
// have the given one.
func (c *Catalog) LongestStream(unset time.Duration) time.Duration {
	if c.unlimitedStreams {
		return max(c.longestStream, unset)
	}
	return c.longestStream
}

// setStreams sets what LongestStream depends on.
func (c *Catalog) setStreams() {
	for i := range c.configuration.Routes {
		if rule := &c.configuration.Routes[i]; rule.Continuable() {
			c.longestStream = max(c.longestStream, rule.Timeout)
			c.unlimitedStreams = c.unlimitedStreams || rule.Timeout <= 0
		}
	}
}

// Configuration returns the configuration, which must not be changed.
func (c *Catalog) Configuration() *ryeford.Configuration { return c.configuration }

// prioritiesOf returns the distinct priorities of routes and accounts in descending order.
func prioritiesOf(configuration *ryeford.Configuration) []ryeford.Priority {
	found := make(map[ryeford.Priority]bool)
	for i := range configuration.Routes {
		found[configuration.Routes[i].Priority] = true
	}
	for i := range configuration.Accounts {
		if priority := configuration.Accounts[i].Priority; priority != nil {
			found[*priority] = true
		}
	}
	return slices.SortedFunc(maps.Keys(found), func(a, b ryeford.Priority) int { return cmp.Compare(b, a) })
}

// Priorities returns the priorities that requests may have, in descending order. The caller must not change them.
func (c *Catalog) Priorities() []ryeford.Priority { return c.priorities }

// shortestGoals returns the shortest latency goal of the routes of each service, without routes that have none.
func shortestGoals(configuration *ryeford.Configuration) map[string]time.Duration {
	goals := make(map[string]time.Duration)
	for i := range configuration.Routes {
		rule := &configuration.Routes[i]
		for _, part := range rule.Split {
			if known, ok := goals[part.Service]; rule.Goal > 0 && (!ok || rule.Goal < known) {
				goals[part.Service] = rule.Goal
			}
		}
	}
	return goals
}

// ShortestGoal returns the shortest latency goal of a service's routes, or zero if none has one.
func (c *Catalog) ShortestGoal(service string) time.Duration { return c.goals[service] }

// Version returns the configuration's version.
func (c *Catalog) Version() int64 { return c.configuration.Version }

// Limits returns the limits on callers' requests.
func (c *Catalog) Limits() *ryeford.RequestLimits { return &c.configuration.Limits }

// RequiresKey reports whether requests need keys. They don't if the configuration has no list of accounts. If the
// list is empty, no key is valid.
func (c *Catalog) RequiresKey() bool { return c.configuration.Accounts != nil }

// Account returns the client account that a key belongs to, or nil.
func (c *Catalog) Account(key string) *ryeford.AccountRule { return c.accounts[key] }

// noService is the rule of services without a configured rule.
var noService ryeford.ServiceRule

// Service returns the rule of a service, which the caller must not change. It is empty if none is configured.
func (c *Catalog) Service(name string) *ryeford.ServiceRule {
	if rule := c.services[name]; rule != nil {
		return rule
	}
	return &noService
}

// Route returns the route of a request, or nil: the route of the host with the longest matching path prefix.
func (c *Catalog) Route(host, path string) *ryeford.RouteRule {
	routes := c.hosts[normalizeHost(host)]
	if routes == nil {
		return nil
	}
	return routes.find(path)
}

// host returns the routes of a host, and creates them if needed.
func (c *Catalog) host(name string) *hostRoutes {
	name = normalizeHost(name)
	routes := c.hosts[name]
	if routes == nil {
		routes = &hostRoutes{byPrefix: make(map[string]*ryeford.RouteRule)}
		c.hosts[name] = routes
	}
	return routes
}

// add adds a route. It replaces an earlier one with the same prefix.
func (r *hostRoutes) add(rule *ryeford.RouteRule) {
	r.byPrefix[rule.Prefix] = rule
	r.longest = max(r.longest, len(rule.Prefix))
}

// find returns the route with the longest matching prefix of a path, or nil. It searches only as much of the path
// as the longest prefix could match. Callers choose the path, and each slash in it costs a lookup.
func (r *hostRoutes) find(path string) *ryeford.RouteRule {
	path = path[:min(r.longest, len(path))]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if rule, ok := r.byPrefix[path[:end+1]]; ok {
			return rule
		}
	}
	return nil
}

// normalizeHost returns a host in lower case and without a port.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
