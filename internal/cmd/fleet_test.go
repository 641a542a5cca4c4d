package cmd

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/ryeford/ryeford/internal/freeport"
)

// testOperatorKey is the operator key of all routers.
const testOperatorKey = "operator-key"

// A testFleet writes the settings files of a small fleet on free ports, with agents or on the
// platform. Routers reach agents through UDP links; the first agent has a plain service.
type testFleet struct {
	// useDefaults keeps the default intervals, which scenarios shorten.
	useDefaults bool

	dir       string
	addresses map[string]string // by the names that scripts use
	vms       []string          // that need a certificate
	operators []string          // addresses of the routers for operators

	platform string
	vmList   strings.Builder // VMs of the platform stand-in, in YAML
}

// newTestFleet returns a fleet whose files are written to dir.
func newTestFleet(dir string) *testFleet {
	return &testFleet{dir: dir, addresses: make(map[string]string)}
}

// write writes the settings files of a fleet with the given numbers of processes.
func (f *testFleet) write(routers, agents, engines int) error {
	f.platform = f.address("platform")
	for i := 1; i <= agents; i++ {
		if err := f.writeAgent(i, engines); err != nil {
			return err
		}
	}
	for i := 1; i <= routers; i++ {
		if err := f.writeRouter(i); err != nil {
			return err
		}
	}
	return f.writeFile("platform.yaml", fmt.Sprintf(
		"platform:\n  address: %s\n  state: platform.json\n  vms:\n%s", f.platform, f.vmList.String()))
}

func (f *testFleet) writeFile(name, content string) error {
	return os.WriteFile(filepath.Join(f.dir, name), []byte(content), 0o600)
}

// common returns the settings that a router and an agent have in common.
func (f *testFleet) common(vm, domain string) string {
	f.vms = append(f.vms, vm)
	common := fmt.Sprintf("vm: %[1]s\nregion: north\nfailure_domain: %[2]s\nplatform: %[3]s\n"+
		"tls: {authority: authority.pem, certificate: %[1]s.pem, key: %[1]s.key}\n", vm, domain, f.platform)
	if f.useDefaults {
		return common
	}
	return common + "transport: {idle_timeout: 2s, keep_alive: 500ms, gossip_interval: 200ms}\n"
}

func (f *testFleet) writeRouter(number int) error {
	vm := fmt.Sprintf("router-%d", number)
	env := fmt.Sprintf("router_%d", number)
	operators := f.address(env + "_operators")
	f.operators = append(f.operators, operators)
	router := f.common(vm, testDomain(number)) + fmt.Sprintf("callers: %s\noperators: %s\noperator_key: %s\n",
		f.address(env+"_callers"), operators, testOperatorKey)
	if !f.useDefaults {
		router += "polls: {vms: 500ms, templates: 500ms}\n" +
			"planner: {interval: 500ms, lease: 3s, load_time: 200ms, ahead: 1s}\n" +
			"limits: {leave_notice: 500ms, drain: 30s, first_token: 2s, between_tokens: 1500ms}\n"
	}
	return f.writeFile(vm+".yaml", router)
}

// writeAgent writes the settings of an agent, and those of its engines, service and link. The
// first engine of each agent checks fences.
func (f *testFleet) writeAgent(number, engines int) error {
	vm := fmt.Sprintf("endpoint-%d", number)
	env := fmt.Sprintf("endpoint_%d", number)
	listen, link := f.address(env), f.address(env+"_link")
	agent := f.common(vm, testDomain(number)) + fmt.Sprintf(
		"listen: %s\nmetrics: %s\n", listen, f.address(env+"_metrics"))
	if !f.useDefaults {
		agent += "polls: {engine: 100ms, vms: 500ms}\n" +
			"limits: {drain: 30s, first_token: 1s, between_tokens: 500ms, grace: 1s, capacity: 16}\n"
	}
	agent += "engines:\n"
	standins := "engines:\n"
	for i := 1; i <= engines; i++ {
		address := f.address(fmt.Sprintf("%s_engine_%d", env, i))
		agent += fmt.Sprintf("  - {id: %s.%d, address: %s, checks_fences: %t}\n", vm, i, address, i == 1)
		standins += fmt.Sprintf("  - {address: %s, checks_fences: %t, step: 5200us, load_time: 100ms, pools: [{model: lira}]}\n", address, i == 1)
	}
	if number == 1 {
		address := f.address("service")
		agent += fmt.Sprintf("services:\n  - {id: notes.1, name: notes, address: %s}\n", address)
		standins += fmt.Sprintf("services:\n  - {address: %s}\n", address)
	}
	standins += fmt.Sprintf("links:\n  - {address: %s, to: %s, admin: %s}\n", link, listen, f.address(env+"_link_admin"))
	fmt.Fprintf(&f.vmList, "    - {id: %s, role: agent, region: north, failure_domain: %s, address: %s}\n", vm, testDomain(number), link)
	if err := f.writeFile(vm+".yaml", agent); err != nil {
		return err
	}
	return f.writeFile(fmt.Sprintf("engines-%d.yaml", number), standins)
}

// testDomain returns the failure domain of the VM with a number. VMs are distributed over
// three domains.
func testDomain(number int) string { return fmt.Sprintf("zone-%d", (number-1)%3+1) }

// address picks an address that is free for TCP and UDP, and stores it under name.
func (f *testFleet) address(name string) string {
	address := freeport.Next().String()
	f.addresses[name] = address
	return address
}
