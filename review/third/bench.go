//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"time"

	"github.com/ryeford/ryeford/platform/wire"
	"github.com/ryeford/ryeford/standin/rowstore"
)

const (
	host    = "ficu95.example"
	key     = "n2ctnfzs989anu6wsjnb"
	zone    = "zg-a"
	startBy = 5 * time.Second
)

// A recorder writes the record of a case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// A bench holds what a case has started.
type bench struct {
	trouble bool
	dir     string // temporary folder
	ip      string // loopback address of the gateway
	record  *recorder
	store   *rowstore.Store
	address string // of the store
	cleanup []func()

	mu       sync.Mutex
	children map[*exec.Cmd]chan struct{}
	sequence int64
}

func newBench() (*bench, error) {
	path := os.Getenv("RECORD")
	if path == "" {
		path = filepath.Join(os.TempDir(), "record.txt")
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	b := &bench{
		trouble: os.Getenv("TROUBLE") != "0", dir: dir, store: rowstore.New(),
		// The metrics port of the template is fixed, so that each case needs an address of its own.
		ip:       fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+time.Now().UnixNano()/1000%250, 2),
		record:   &recorder{file: file, began: time.Now()},
		children: make(map[*exec.Cmd]chan struct{}),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b.address = listener.Addr().String()
	server := &http.Server{Handler: b.store}
	go func() { _ = server.Serve(listener) }()
	b.cleanup = append(b.cleanup, func() { _ = server.Close() }, func() { _ = os.RemoveAll(dir) })
	return b, nil
}

// close ends all processes that the case has started.
func (b *bench) close() {
	b.mu.Lock()
	var running []*exec.Cmd
	for child := range b.children {
		running = append(running, child)
	}
	b.mu.Unlock()
	for _, child := range running {
		b.kill(child)
	}
	for _, f := range b.cleanup {
		f()
	}
}

// start starts a process whose output goes to a file of the temporary folder.
func (b *bench) start(name string, env []string, program string, args ...string) (*exec.Cmd, error) {
	out, err := os.OpenFile(filepath.Join(b.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	child := exec.Command(program, args...)
	child.Env = append([]string{"PATH=" + os.Getenv("PATH")}, env...)
	child.Stdout, child.Stderr = out, out
	if err := child.Start(); err != nil {
		return nil, err
	}
	_ = out.Close()
	done := make(chan struct{})
	b.mu.Lock()
	b.children[child] = done
	b.mu.Unlock()
	go func() {
		_ = child.Wait()
		b.mu.Lock()
		delete(b.children, child)
		b.mu.Unlock()
		close(done)
	}()
	return child, nil
}

// kill ends a process and waits for its end.
func (b *bench) kill(child *exec.Cmd) {
	b.mu.Lock()
	done := b.children[child]
	b.mu.Unlock()
	if done == nil {
		return
	}
	_ = child.Process.Kill()
	<-done
}

// A gateway is one process of the deployed program.
type gateway struct {
	process *exec.Cmd
	callers string // address
	ready   string // address
}

var gap = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// startGateway starts a gateway with the template of the deploy file, filled in with the figures of a small site.
func (b *bench) startGateway() (*gateway, error) {
	template, err := os.ReadFile("deploy/gateway.yaml.tmpl")
	if err != nil {
		return nil, err
	}
	g := &gateway{callers: b.ip + ":8227", ready: b.ip + ":8220"}
	fields := map[string]string{
		"node": "front-" + zone + "-1", "region": "zagreb", "zone": zone, "listen.front": g.callers, "listen.ready": g.ready,
		"ip": b.ip, "platform.address": b.address, "portRange.0": "7340", "bootstrap": "true", "limits.memoryMb": "284",
		"bounds.revokeMs": "5000", "bounds.strictRevoke": "true", "bounds.contactMs": "3000", "bounds.configMs": "2000", "bounds.drainMs": "2000",
		"bounds.graceS": "8", "bounds.budgetRatio": "0.2", "bounds.budgetSlack": "58", "bounds.budgetWindowS": "10", "bounds.capFactor": "2",
	}
	settings := gap.ReplaceAllStringFunc(string(template), func(name string) string { return fields[gap.FindStringSubmatch(name)[1]] })
	file := filepath.Join(b.dir, "gateway.yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	g.process, err = b.start("gateway", []string{"RYEFORD_CONFIG=" + file}, "target/ryeford", "gateway")
	if err != nil {
		return nil, err
	}
	return g, b.awaitReady(g)
}

// awaitReady waits until a gateway is ready.
func (b *bench) awaitReady(g *gateway) error {
	ctx, cancel := context.WithTimeout(context.Background(), startBy)
	defer cancel()
	for ctx.Err() == nil {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+"/ryeford/readiness", nil)
		if err != nil {
			return err
		}
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("gateway %s was not ready within %s", g.ready, startBy)
}

// configure writes the operators' configuration.
func (b *bench) configure(configuration *wire.Configuration) error {
	_, err := b.store.PutJSON(wire.TableOperators, wire.KeyConfig, configuration)
	return err
}

// An endpointSpec describes one life of an endpoint.
type endpointSpec struct {
	ID       string        `json:"id"`
	Address  string        `json:"address"`
	Service  string        `json:"service"`
	Events   int           `json:"events"`
	Size     int           `json:"size"` // of an event's text, in bytes
	Step     time.Duration `json:"step"`
	Unframed bool          `json:"unframed"` // the stream has no length and no chunks, and ends with its connection
}

// list writes an endpoint's entry.
func (b *bench) list(e *endpointSpec, state string) error {
	b.mu.Lock()
	b.sequence++
	sequence := b.sequence
	b.mu.Unlock()
	_, err := b.store.PutJSON(wire.TableEndpoints, e.ID, wire.Endpoint{
		Service: e.Service, Address: e.Address, FailureDomain: zone, Version: "1", Slots: 64, State: state, Sequence: sequence,
	})
	return err
}

// freePort returns a port that is free on the bench's endpoints' address.
func freePort() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}
