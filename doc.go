// Package ryeford defines the value types and interfaces of a fleet of routers for
// multi-turn chats. It does no I/O and makes no routing decisions. The packages below it
// implement the interfaces.
//
// The gateway, which runs on the users' platform, uses configuration.go, endpoint.go,
// evacuation.go, protocol.go, revision.go and source.go. The fleet with agents uses engine.go,
// plan.go, table.go, template.go and vm.go.
// Both use ids.go, priority.go, reason.go and errors.go.
//
// Fields with tags are sent or stored under the names of their tags. This package does not
// validate values: the package that decodes external input does.
package ryeford
