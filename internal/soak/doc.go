// Package soak holds the fault soak: an emulator of the platform and several gateways
// as separate processes, with faults injected from outside while callers use them. All
// of it is test code.
//
// The files in the order in which to read them:
//
//   - soak_test.go: TestSoak and TestSoakSeries, one run from its seed to its verdict;
//   - plan_test.go: how the runs of these two differ;
//   - seeds_test.go: the seeds that are run each time, and why each was kept;
//   - faults_test.go, seriesfaults_test.go, extrafaults_test.go, lifefaults_test.go,
//     restorefaults_test.go, evacuationfaults_test.go: the faults, and when they
//     strike;
//   - checks_test.go, serieschecks_test.go, departed_test.go, refused_test.go,
//     regress_test.go: what must hold of each call;
//   - callers_test.go, fleet_test.go, gateway_test.go, process_test.go: the callers and
//     the processes;
//   - proxy_test.go, byterate_test.go, peerlinks_test.go: the links that faults impair;
//   - stalls_test.go: by how much bounds in time are extended, and why;
//   - crowd_test.go: TestSoakCrowd, one run with many processes;
//   - crashingrequests_test.go, hangup_test.go, largeconfiguration_test.go, laterequest_test.go,
//     peerlinkscheck_test.go, superseded_test.go, regress_test.go: single cases.
//
// The kept seeds and the single cases, as CI runs them:
//
//	go test ./internal/soak
//
// Fresh seeds too, here 50 of each plan:
//
//	RYEFORD_SOAK_SEEDS=50 go test -timeout 60m ./internal/soak
//
// Some seeds only, each ten times:
//
//	RYEFORD_SOAK_ONLY=332269377,68843397 go test -run TestSoakSeries -count 10 ./internal/soak
//
// One run with up to 198 gateways, as far as half of the machine's memory allows:
//
//	RYEFORD_SOAK_CROWD=198 go test -run TestSoakCrowd ./internal/soak
//
// A failed run prints its seed, the calls that broke a check, and its timeline of
// faults, and keeps the gateways' logs. The seed draws the faults, not the processes'
// timing: a seed may have to run several times until it fails again. What it shows goes
// into docs/findings.md, and the seed into keptSeeds.
package soak
