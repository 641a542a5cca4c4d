//go:build review

package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ryeford/ryeford/platform"
)

// program is the deployed program, relative to the root of the repository.
const program = "target/ryeford"

// settingsTemplate is the template of its settings.
const settingsTemplate = "deploy/gateway.yaml.tmpl"

// contact is bounds.contactMs. A gateway that has been ready for that long is in touch.
const contact = 3 * time.Second

var (
	processesMu sync.Mutex
	processes   []*exec.Cmd
	folders     []string // temporary ones
)

// start starts a process that stopProcesses ends.
func start(command *exec.Cmd) error {
	processesMu.Lock()
	defer processesMu.Unlock()
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	processes = append(processes, command)
	return nil
}

// stopProcesses ends all processes that were started, and removes the temporary folders.
func stopProcesses() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, command := range processes {
		_ = command.Process.Kill() // fails if it has ended
		_ = command.Wait()
	}
	for _, folder := range folders {
		_ = os.RemoveAll(folder)
	}
	processes, folders = nil, nil
}

// A gateway is a running gateway.
type gateway struct {
	command            *exec.Cmd
	callers, readiness netip.AddrPort
	peers              netip.AddrPort
	settings           string // file
	log                string // file
}

// settingsFields are the fields of the platform that fill the template, as in the settings of the site
// skriptorij-rye.
var settingsFields = map[string]string{
	"region": "zagreb", "zone": "zg-a", "bootstrap": "true", "limits.memoryMb": "284",
	"bounds.revokeMs": "5000", "bounds.strictRevoke": "true", "bounds.contactMs": "3000", "bounds.configMs": "2000",
	"bounds.drainMs": "2000", "bounds.graceS": "8", "bounds.budgetRatio": "0.2", "bounds.budgetSlack": "58",
	"bounds.budgetWindowS": "10", "bounds.capFactor": "2",
}

// newGateway starts a gateway on a loopback IP of its own, 127.0.0.n, and waits until it is in touch.
func newGateway(r *record, store netip.AddrPort, n int) (*gateway, error) {
	ip := fmt.Sprintf("127.0.0.%d", n)
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	folders = append(folders, folder)
	g := &gateway{settings: filepath.Join(folder, "settings.yaml"), log: filepath.Join(folder, "gateway.log")}
	ports, err := freePorts(ip, 4)
	if err != nil {
		return nil, err
	}
	g.callers, g.readiness, g.peers = ports[0], ports[1], ports[2]
	fields := map[string]string{
		"node": fmt.Sprintf("front-zg-a-%d", n), "ip": ip, "listen.front": g.callers.String(), "listen.ready": g.readiness.String(),
		"platform.address": store.String(), "portRange.0": fmt.Sprint(g.peers.Port()),
	}
	if err := g.writeSettings(fields, ports[3]); err != nil {
		return nil, err
	}
	if err := g.start(); err != nil {
		return nil, err
	}
	r.add("started gateway %s", g.callers)
	if err := g.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	r.add("the gateway has been ready for %v", contact)
	return g, nil
}

// writeSettings fills the template of the deploy file. The metrics port is replaced by a free one.
func (g *gateway) writeSettings(fields map[string]string, metrics netip.AddrPort) error {
	template, err := os.ReadFile(settingsTemplate)
	if err != nil {
		return err
	}
	text := string(template)
	for _, values := range []map[string]string{settingsFields, fields} {
		for name, value := range values {
			text = strings.ReplaceAll(text, "{{"+name+"}}", value)
		}
	}
	text = strings.ReplaceAll(text, ":9464", fmt.Sprintf(":%d", metrics.Port()))
	if strings.Contains(text, "{{") {
		return errors.New("the template has a field that this script does not know")
	}
	return os.WriteFile(g.settings, []byte(text), 0o600)
}

// start starts the process.
func (g *gateway) start() error {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.command = exec.Command(program, "gateway")
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RYEFORD_CONFIG=" + g.settings}
	g.command.Stdout, g.command.Stderr = log, log
	return start(g.command)
}

// awaitReady waits until the gateway's readiness probe succeeds.
func (g *gateway) awaitReady() error {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + g.readiness.String() + platform.PathReady)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("the gateway did not become ready")
}

// freePorts returns n free ports of an IP.
func freePorts(ip string, n int) ([]netip.AddrPort, error) {
	var ports []netip.AddrPort
	for range n {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, addressOf(listener))
	}
	return ports, nil
}
