// Package endpoint sends requests to endpoints over HTTP/1.1 and keeps the
// connections to them. Each request is written to one connection, once.
//
// An attempt ends in one of three ways, and the type of its error is what it proves:
//
//   - *UnsentError: the endpoint got nothing of the request, which did not run.
//   - *LostError: the request was sent, whole or in part, and no usable response
//     came. It may have run.
//   - no error: the head of the endpoint's own response to this request. What it
//     says of the request is the caller's to judge; the body may still be lost.
//
// When a connection is used again stands with Response.Close and Pool.idleConnection.
//
// The package owns the idle connections. It relies on the ryeford.Protocol for the
// ID, the signature and the load in a response's header, and on net/http's codec to
// read responses. net/http's client is not used: it repeats requests on its own, and
// takes whatever response comes for the one to its request.
package endpoint
