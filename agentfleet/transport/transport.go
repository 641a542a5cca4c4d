// Package transport carries messages between the system's processes over QUIC
// with mutual TLS.
package transport
