// Package catalog looks up, in the operators' configuration, the route of a request
// and the client account of a key.
//
// It owns the configuration in force and relies on its callers to change none that
// they have handed over. It does no I/O.
package catalog

import (
	"cmp"
	"slices"
	"strings"

	"github.com/ryeford/ryeford"
)

// A Catalog is an index of one configuration. It never changes, and may be used by
// several goroutines at once.
type Catalog struct {
	configuration *ryeford.Configuration
	routes        map[string]map[string]*ryeford.RouteRule // by host and prefix
	accounts      map[string]*ryeford.AccountRule          // by key
	priorities    []ryeford.Priority                       // the highest first
}

// New returns the Catalog of a configuration, which must not be changed afterwards.
func New(configuration *ryeford.Configuration) *Catalog {
	c := &Catalog{
		configuration: configuration,
		routes:        make(map[string]map[string]*ryeford.RouteRule),
		accounts:      make(map[string]*ryeford.AccountRule),
	}
	for i := range configuration.Routes {
		rule := &configuration.Routes[i]
		host := normalizeHost(rule.Host)
		if c.routes[host] == nil {
			c.routes[host] = make(map[string]*ryeford.RouteRule)
		}
		c.routes[host][rule.Prefix] = rule
	}
	for i := range configuration.Accounts {
		account := &configuration.Accounts[i]
		for _, key := range account.Keys {
			c.accounts[key] = account
		}
	}
	c.priorities = prioritiesOf(configuration)
	return c
}

// prioritiesOf returns the priorities that requests may have, the highest first.
func prioritiesOf(configuration *ryeford.Configuration) []ryeford.Priority {
	var priorities []ryeford.Priority
	for i := range configuration.Routes {
		priorities = append(priorities, configuration.Routes[i].Priority)
	}
	for i := range configuration.Accounts {
		if priority := configuration.Accounts[i].Priority; priority != nil {
			priorities = append(priorities, *priority)
		}
	}
	slices.SortFunc(priorities, func(a, b ryeford.Priority) int { return cmp.Compare(b, a) })
	return slices.Compact(priorities)
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

// Route returns the route of a request: of its host's routes the one with the
// longest prefix of the path, or nil.
func (c *Catalog) Route(host, path string) *ryeford.RouteRule {
	routes := c.routes[normalizeHost(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if rule, ok := routes[path[:end+1]]; ok {
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
