//go:build review

// Command second plays the cases of the second review: it starts the gateway of the deploy file as a
// separate process, and plays its platform, endpoints and callers on loopback addresses.
//
//	second CASE RECORD
//
// plays a case and writes what was sent, answered and run to the file RECORD. It exits with 1 if the
// rule was broken, with 0 if it held, and with 2 if the case couldn't run. With TROUBLE=0 in the
// environment it leaves out the disruption.
package main
