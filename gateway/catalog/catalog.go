// Package catalog looks up, in the operators' configuration, the route of a request
// and the client account of a key.
//
// It owns the configuration in force and relies on its callers to change none that
// they have handed over. It does no I/O.
package catalog

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/ryeford/ryeford"
)

// A Catalog is an index of one configuration. It never changes, and may be used by
// several goroutines at once.
type Catalog struct {
	configuration *ryeford.Configuration
	hosts         map[string]*hostRoutes
	accounts      map[string]*ryeford.AccountRule // by key
	services      map[string]*ryeford.ServiceRule
	priorities    []ryeford.Priority // the highest first
}

// hostRoutes are the routes of one host.
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
	return c
}

// Configuration returns the configuration, which must not be changed.
func (c *Catalog) Configuration() *ryeford.Configuration { return c.configuration }

// prioritiesOf returns the priorities that requests may have, the highest first.
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

// Priorities returns the priorities that requests may have, the highest first. The
// caller must not change them.
func (c *Catalog) Priorities() []ryeford.Priority { return c.priorities }

// Version returns the configuration's version.
func (c *Catalog) Version() int64 { return c.configuration.Version }

// Limits returns the bounds on what callers send.
func (c *Catalog) Limits() *ryeford.RequestLimits { return &c.configuration.Limits }

// Keyed reports whether requests carry keys. With no accounts at all they need none;
// with an empty list of them no key is valid.
func (c *Catalog) Keyed() bool { return c.configuration.Accounts != nil }

// Account returns the client account that a key belongs to, or nil.
func (c *Catalog) Account(key string) *ryeford.AccountRule { return c.accounts[key] }

// noService stands for a service of which the operators say nothing.
var noService ryeford.ServiceRule

// Service returns what the operators say of a service. The caller must not change it.
func (c *Catalog) Service(name string) *ryeford.ServiceRule {
	if rule := c.services[name]; rule != nil {
		return rule
	}
	return &noService
}

// Route returns the route of a request: of its host's routes the one with the
// longest prefix of the path, or nil.
func (c *Catalog) Route(host, path string) *ryeford.RouteRule {
	routes := c.hosts[normalizeHost(host)]
	if routes == nil {
		return nil
	}
	return routes.find(path)
}

// host returns the routes of a host, empty ones if it has none yet.
func (c *Catalog) host(name string) *hostRoutes {
	name = normalizeHost(name)
	routes := c.hosts[name]
	if routes == nil {
		routes = &hostRoutes{byPrefix: make(map[string]*ryeford.RouteRule)}
		c.hosts[name] = routes
	}
	return routes
}

// add adds a route, in place of an earlier one with the same prefix.
func (r *hostRoutes) add(rule *ryeford.RouteRule) {
	r.byPrefix[rule.Prefix] = rule
	r.longest = max(r.longest, len(rule.Prefix))
}

// find returns the route with the longest prefix of a path, or nil. It looks at no more of
// the path than the longest prefix takes: callers choose the path's length, and each slash
// in it would cost a look-up of all that stands before.
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
