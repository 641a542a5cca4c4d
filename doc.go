// Package ryeford holds the value types and the interfaces of a router fleet for
// returning chats. It does no I/O and decides nothing: implementations live in the
// packages below it, and any of them can be replaced by another one.
//
// The gateway, which runs on the users' platform, uses configuration.go, endpoint.go,
// protocol.go and source.go. The fleet with agents uses engine.go, plan.go,
// table.go, template.go and vm.go.
// Both use ids.go, priority.go, reason.go and errors.go.
//
// Fields with tags are sent or stored in that form. Values are not checked here: the
// package that reads them from outside does that.
package ryeford
