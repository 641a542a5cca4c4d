// Package largeconf generates operators' configurations of any size, for tests and benchmarks of
// routers with thousands of routes.
//
// Their composition resembles that of real configurations: several routes per host, prefixes of
// two segments, idempotent and resumable stream routes, some with a split, and client accounts
// with keys.
package largeconf

import (
	"fmt"

	"github.com/ryeford/ryeford/platform/wire"
)

// The composition of a configuration. One of publicEvery routes is public, and so on.
const (
	routesPerHost  = 40
	services       = 24
	publicEvery    = 8
	streamEvery    = 4
	splitEvery     = 16
	accounts       = 120
	keysPerAccount = 2
)

// New returns a configuration with a version and a number of routes. A larger configuration begins
// with the routes of a smaller one.
func New(version int64, routes int) *wire.Configuration {
	list := make([]wire.Account, 0, accounts)
	for i := range accounts {
		list = append(list, account(i))
	}
	configuration := &wire.Configuration{
		Version:  version,
		Limits:   wire.Limits{MaxBodyBytes: 65536, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
		Accounts: &list,
	}
	for i := range routes {
		configuration.Routes = append(configuration.Routes, route(i))
	}
	return configuration
}

// route returns the i-th route.
func route(i int) wire.Route {
	r := wire.Route{
		Name:        fmt.Sprintf("route-%05d", i),
		Host:        fmt.Sprintf("host-%03d.example", i/routesPerHost),
		Prefix:      fmt.Sprintf("/v%d/part-%d/", i%3, i),
		Kind:        wire.KindIdempotent,
		TimeoutMs:   4000,
		GoalMs:      1500,
		Rank:        i % 10,
		MaxAttempts: 2,
		Public:      i%publicEvery == 0,
		Service:     service(i),
	}
	if i%streamEvery == 0 {
		r.Kind, r.Resumable = wire.KindStream, true
	}
	if i%splitEvery == 0 {
		r.Split = []wire.WeightedService{{Service: service(i), Weight: 3}, {Service: service(i + 1), Weight: 1}}
	}
	return r
}

// service returns the service of the i-th route.
func service(i int) string { return fmt.Sprintf("service-%02d", i%services) }

// account returns the i-th client account.
func account(i int) wire.Account {
	a := wire.Account{Name: fmt.Sprintf("account-%03d", i)}
	for k := range keysPerAccount {
		a.Keys = append(a.Keys, fmt.Sprintf("key-%03d-%d-0123456789abcdef", i, k))
	}
	return a
}
