// Package soak holds the fault soak: the real programs as separate processes,
// struck from outside by signals, a loopback proxy and a misbehaving store and
// servers, while callers use them. All of it is test code; see TestSoak.
package soak
