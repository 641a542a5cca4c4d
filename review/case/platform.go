//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ryeford/ryeford/standin/rowstore"
)

// The figures of the sheet of skriptorij-rye that the settings of a gateway hold.
var sheet = map[string]string{
	"bootstrap": "true", "region": "zagreb", "limits.memoryMb": "284",
	"bounds.contactMs": "3000", "bounds.drainMs": "2000", "bounds.graceS": "8", "bounds.configMs": "2000",
	"bounds.strictRevoke": "true", "bounds.revokeMs": "5000", "bounds.budgetRatio": "0.2",
	"bounds.budgetWindowS": "10", "bounds.budgetSlack": "58", "bounds.capFactor": "2",
}

// A platform plays the platform's store, its load balancer's probes and the operator.
type platform struct {
	store  *rowstore.Store
	server *http.Server
	host   string
	addr   string

	gateways int // number that were started
}

// newPlatform starts the store at a free port of a loopback address.
func newPlatform(host string) (*platform, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	p := &platform{store: rowstore.New(), host: host, addr: listener.Addr().String()}
	p.store.HideEra()
	p.server = &http.Server{Handler: p.store}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

func (p *platform) close() { _ = p.server.Close() }

// A route is a route of the operator's configuration.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"pathPrefix"`
	Service     string  `json:"service"`
	Kind        string  `json:"kind"`
	TimeoutMs   float64 `json:"timeoutMs"`
	GoalMs      float64 `json:"goalMs"`
	Priority    int     `json:"priority"`
	MaxAttempts int     `json:"maxAttempts"`
	Resumable   bool    `json:"resumable,omitempty"`
	Public      bool    `json:"public,omitempty"`
}

type service struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
}

type tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"apiKeys"`
}

// The host, the key and the tenant of all requests.
const (
	requestHost   = "desk.example"
	requestKey    = "k-review-0001"
	requestTenant = "review"
)

// zones are those of the sheet.
var zones = []string{"zg-a", "zg-b", "zg-c"}

// contact is bounds.contactMs of the sheet.
const contact = 3 * time.Second

// configure writes the operator's configuration.
func (p *platform) configure(names []string, routes []route) error {
	var services []service
	for _, name := range names {
		services = append(services, service{Name: name, HealthPath: "/health"})
	}
	_, err := p.store.PutJSON("op", "config", map[string]any{
		"version": 1, "routes": routes, "services": services,
		"tenants": []tenant{{Name: requestTenant, Keys: []string{requestKey}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
	})
	return err
}

// list writes the entry of a server that is ready.
func (p *platform) list(id, serviceName, zone, address string, slots int) error {
	return p.writeEntry(id, serviceName, zone, address, "ready", slots)
}

// drain writes the entry of a server that is draining.
func (p *platform) drain(id, serviceName, zone, address string, slots int) error {
	return p.writeEntry(id, serviceName, zone, address, "draining", slots)
}

// remove removes the entry of a server.
func (p *platform) remove(id string) { p.store.Remove("servers", id) }

func (p *platform) writeEntry(id, serviceName, zone, address, state string, slots int) error {
	_, err := p.store.PutJSON("servers", id, map[string]any{
		"service": serviceName, "address": address, "zone": zone, "version": "1", "slots": slots,
		"state": state, "coldMs": 0, "seq": 1,
	})
	return err
}

// gap matches a gap of the template of the settings.
var gap = regexp.MustCompile(`\{\{[^}]*\}\}`)

// A gateway is one process of the deployed program.
type gateway struct {
	*process
	front, ready    string
	dir, name, file string // of the settings
}

// restart starts the gateway again after its end, as the platform does, and waits until it is ready.
func (g *gateway) restart() error {
	<-g.ended
	text, err := os.ReadFile(g.file)
	if err != nil {
		return err
	}
	later := strings.Replace(string(text), "first_start: true", "first_start: false", 1)
	if err := os.WriteFile(g.file, []byte(later), 0o600); err != nil {
		return err
	}
	return g.start()
}

// start starts the process of the gateway and waits until it says that it is ready.
func (g *gateway) start() (err error) {
	if g.process, err = start(g.dir, g.name, []string{"RYEFORD_CONFIG=" + g.file}, "target/ryeford", "gateway"); err != nil {
		return err
	}
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(50 * time.Millisecond) {
		if probe(g.ready) {
			return nil
		}
	}
	g.kill()
	return fmt.Errorf("gateway %s isn't ready", g.name)
}

// startGateway starts a gateway with the command and the template of the deploy file, and waits until it says that it
// is ready.
func (p *platform) startGateway(dir, name, zone string) (*gateway, error) {
	ports, err := freePorts(p.host, 3)
	if err != nil {
		return nil, err
	}
	g := &gateway{front: address(p.host, ports[0]), ready: address(p.host, ports[1])}
	fields := map[string]string{
		"node": name, "zone": zone, "ip": p.metricsHost(), "listen.front": g.front, "listen.ready": g.ready,
		"platform.address": p.addr, "portRange.0": strconv.Itoa(ports[2]),
	}
	text, err := os.ReadFile("deploy/gateway.yaml.tmpl")
	if err != nil {
		return nil, err
	}
	filled := gap.ReplaceAllStringFunc(string(text), func(gap string) string {
		field := strings.Trim(gap, "{}")
		if value, ok := fields[field]; ok {
			return value
		}
		return sheet[field]
	})
	g.dir, g.name, g.file = dir, name, filepath.Join(dir, name+".conf")
	if err := os.WriteFile(g.file, []byte(filled), 0o600); err != nil {
		return nil, err
	}
	return g, g.start()
}

// probe asks a gateway whether it is ready, as the load balancer does.
func probe(ready string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ready+"/ryeford/readiness", nil)
	if err != nil {
		return false
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// keepProbing probes a gateway once a second until the returned function is called.
func keepProbing(ready string) (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Second):
				probe(ready)
			}
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}

// metricsHost returns another loopback address for each gateway: the template gives the metrics one port on all machines.
func (p *platform) metricsHost() string {
	p.gateways++
	return fmt.Sprintf("%s.%d", p.host[:strings.LastIndex(p.host, ".")], 200+p.gateways)
}

func address(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

// freePorts returns ports of a loopback address at which nothing listens.
func freePorts(host string, n int) ([]int, error) {
	var ports []int
	for range n {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}
