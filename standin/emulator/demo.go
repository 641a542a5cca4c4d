package emulator

import (
	"fmt"
	"net/netip"

	"github.com/ryeford/ryeford/platform/wire"
)

// The demo's host and its services. The settings name their endpoints.
const (
	demoHost = "dev.example"
	// DemoModel and DemoNotes are the services of the demo configuration.
	DemoModel = "model"
	DemoNotes = "notes"
)

// DemoConfiguration returns a small configuration for trials, in the platform's JSON,
// with one client account and its key.
func DemoConfiguration(key string) []byte {
	return fmt.Appendf(nil, `{"version":1,
"routes":[
{"name":"chat","host":%[1]q,"pathPrefix":"/chat/","kind":"streaming","service":%[2]q,"timeoutMs":15000,"goalMs":500,"maxAttempts":2,"resumable":true,"priority":1},
{"name":"notes","host":%[1]q,"pathPrefix":"/notes/","kind":"unsafe","service":%[3]q,"timeoutMs":4000,"goalMs":300,"maxAttempts":1,"priority":2}],
"services":[{"name":%[3]q},{"name":%[2]q,"engine":{"slots":64,"kvCapacity":100000}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"demo","apiKeys":[%[4]q]}]}`, demoHost, DemoModel, DemoNotes, key)
}

// DemoCommand returns a shell command that sends a request with the demo account's
// key to a router.
func DemoCommand(callers netip.AddrPort, key string) string {
	return fmt.Sprintf("curl -sN http://%s/chat/1 -H 'Host: %s' -H '%s: 1' -H 'Authorization: Bearer %s' -d 'good morning'",
		callers, demoHost, wire.HeaderRequestID, key)
}
