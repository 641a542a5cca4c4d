// Package transport carries the messages of package wire between routers and agents
// over QUIC with mutual TLS.
//
// It owns the sockets, the certificates' form (identity.go, tls.go) and the budget of control
// traffic. It relies on the fleet's authority to issue a certificate only to the VM
// that it names: a peer is the VM in its certificate, whatever its address.
//
// Its errors are *Error, but for the files of LoadTLSConfig.
package transport
