// Package soak holds the fault soak: an emulator of the platform and several gateways
// as separate processes, with faults injected from outside while callers use them. All
// of it is test code.
//
// The files in the order in which to read them:
//
//   - soak_test.go: TestSoak, one run from its seed to its verdict;
//   - seeds_test.go: the seeds that failed once, each with its cause;
//   - faults_test.go: the faults, and when they strike;
//   - checks_test.go: what must hold of each call;
//   - callers_test.go, fleet_test.go, gateway_test.go, process_test.go, proxy_test.go:
//     the callers and the processes;
//   - hangup_test.go: a failure that the soak found, held by a test of its own.
//
// The kept seeds alone, as CI runs them:
//
//	go test ./internal/soak
//
// Fresh seeds too, here 50 of them:
//
//	RYEFORD_SOAK_SEEDS=50 go test -timeout 60m ./internal/soak
//
// A failed run prints its seed, the calls that broke a check, and its timeline of
// faults, and keeps the gateways' logs. The seed draws the faults, not the processes'
// timing: a seed may have to run several times until it fails again. What it shows goes
// into docs/findings.md, and the seed into keptSeeds.
package soak
