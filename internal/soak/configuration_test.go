package soak

import (
	"fmt"
	"strings"
)

// Names of the routes in the configuration.
const (
	routeOnce   = "once"   // not idempotent: may run once
	routeSafe   = "safe"   // idempotent
	routeStream = "stream" // not idempotent; the response is a stream of events
	routeResume = "resume" // the same, and the stream may be continued
)

var routes = []string{routeOnce, routeSafe, routeStream}

const (
	// maxAttempts is the maximum number of runs of an idempotent request.
	maxAttempts = 2
	// host is the host of all routes.
	host = "h.example"
	// firstKey is always valid; faults revoke secondKey and restore it.
	firstKey  = "bank-key"
	secondKey = "church-key"
)

// A configuration is a version of the platform's configuration. SecondKey reports whether the
// second client account has its key.
type configuration struct {
	Version   int
	SecondKey bool
	// HasProbeRoute adds a public route that no other version has (probeRoute).
	HasProbeRoute bool
	// UnusedRoutes is the number of routes that no caller uses.
	UnusedRoutes int
}

// probeRoute returns the name of the route that only one version has. The response to a
// request for it shows whether that version is in force.
func probeRoute(version int) string { return fmt.Sprintf("probe-%d", version) }

// content returns the configuration as the platform's JSON.
func (c configuration) content() string {
	accounts := fmt.Sprintf(`{"name":"bank","apiKeys":[%q]}`, firstKey)
	if c.SecondKey {
		accounts += fmt.Sprintf(`,{"name":"church","apiKeys":[%q]}`, secondKey)
	}
	var extra strings.Builder
	if c.HasProbeRoute {
		fmt.Fprintf(&extra, extraRouteFormat, probeRoute(c.Version), host, true)
	}
	for i := range c.UnusedRoutes {
		fmt.Fprintf(&extra, extraRouteFormat, fmt.Sprintf("unused-%d", i), host, false)
	}
	return fmt.Sprintf(`{"version":%[1]d,
"routes":[
{"name":"once","host":%[2]q,"pathPrefix":"/once/","kind":"unsafe","service":"plain","timeoutMs":3000,"goalMs":500,"priority":1,"maxAttempts":2},
{"name":"safe","host":%[2]q,"pathPrefix":"/safe/","kind":"safe","service":"plain","timeoutMs":3000,"goalMs":500,"priority":1,"maxAttempts":%[3]d},
{"name":"stream","host":%[2]q,"pathPrefix":"/stream/","kind":"streaming","service":"model","timeoutMs":5000,"goalMs":500,"priority":1,"maxAttempts":2},
{"name":"resume","host":%[2]q,"pathPrefix":"/resume/","kind":"streaming","resumable":true,"service":"model","timeoutMs":5000,"goalMs":500,"priority":1,"maxAttempts":2}%[5]s],
"services":[{"name":"plain"},{"name":"model","engine":{"slots":64,"kvCapacity":100000}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[%[4]s]}`, c.Version, host, maxAttempts, accounts, extra.String())
}

// extraRouteFormat is the format of an additional route to the plain service: its name,
// which is also its path, its host, and whether it is public.
const extraRouteFormat = `,
{"name":%[1]q,"host":%[2]q,"pathPrefix":"/%[1]s/","kind":"safe","service":"plain","timeoutMs":3000,"goalMs":500,"priority":1,"maxAttempts":2,"public":%[3]t}`
