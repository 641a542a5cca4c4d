// Package soak contains the fault-injection soak test: an emulator of the platform and
// several gateways run as separate processes, and faults are injected while callers send
// requests. All of it is test code.
//
// The files, in reading order:
//
//   - soak_test.go: TestSoak and TestSoakSeries, one run from its seed to its result;
//   - plan_test.go: how the runs of these two differ;
//   - seeds_test.go: the seeds of the regression cases;
//   - faults_test.go, seriesfaults_test.go, extrafaults_test.go, lifefaults_test.go,
//     restorefaults_test.go, evacuationfaults_test.go, reportfaults_test.go: the faults;
//   - injector_test.go: when faults are injected, and what is recorded of them;
//   - checks_test.go, serieschecks_test.go, departed_test.go, refused_test.go,
//     regress_test.go: the checks of each call;
//   - callers_test.go, fleet_test.go, gateway_test.go, process_test.go,
//     configuration_test.go: the callers, the processes and the configuration;
//   - proxy_test.go, byterate_test.go, peerlinks_test.go: the links that faults impair;
//   - stalls_test.go: when the machine stalled, by which time limits are extended;
//   - crowd_test.go: TestSoakCrowd, one run with many processes;
//   - crashingrequests_test.go, hangup_test.go, largeconfiguration_test.go, laterequest_test.go,
//     peerlinkscheck_test.go, plaincrowd_test.go, superseded_test.go, regress_test.go: tests of single cases.
//
// The kept seeds and the single cases, as in CI:
//
//	go test ./internal/soak
//
// With 50 fresh seeds for each plan:
//
//	RYEFORD_SOAK_SEEDS=50 go test -timeout 60m ./internal/soak
//
// Given seeds only, each ten times:
//
//	RYEFORD_SOAK_ONLY=332269377,68843397 go test -run TestSoakSeries -count 10 ./internal/soak
//
// One run with up to 198 gateways, limited by half of the machine's memory:
//
//	RYEFORD_SOAK_CROWD=198 go test -run TestSoakCrowd ./internal/soak
//
// A failed run prints its seed, the calls that violated a check, and its timeline of
// faults, and saves the gateways' logs. The seed determines the faults, not the timing of
// the processes, so a seed may have to run several times until it fails again. Document
// the finding in docs/findings.md, and add the seed to keptSeeds.
package soak
