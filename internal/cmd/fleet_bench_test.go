package cmd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/engine"
	"github.com/ryeford/ryeford/agentfleet/tableservice"
	"github.com/ryeford/ryeford/caller"
)

const (
	benchRate    = 500 // turns per second
	benchSeconds = 8
)

// BenchmarkFleet runs a fleet of separate processes on loopback under a constant rate of
// turns, of few and of many tokens. It reports the processor time of the router and the
// agents per turn, and the latency that they add to the time to the first token.
func BenchmarkFleet(b *testing.B) {
	for _, tokens := range []int{4, 64} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			for range b.N {
				benchFleet(b, tokens)
			}
		})
	}
}

// startInDir starts the program as a process that runs until the benchmark ends.
func startInDir(b *testing.B, dir string, args ...string) {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Args[0] = "ryeford"
	cmd.Dir = dir
	assert.NilError(b, cmd.Start())
	b.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
}

// startFleet starts a fleet of one router, agents and engines, and waits until it answers a
// turn.
func startFleet(b *testing.B, agents, engines int) *testFleet {
	f := newTestFleet(b.TempDir())
	f.useDefaults = true
	assert.NilError(b, f.write(1, agents, engines))
	certs := exec.Command(os.Args[0], append([]string{"cert"}, f.vms...)...)
	certs.Args[0] = "ryeford"
	certs.Dir = f.dir
	assert.NilError(b, certs.Run())
	startInDir(b, f.dir, "standin", "run", "--settings", "platform.yaml")
	for i := 1; i <= agents; i++ {
		startInDir(b, f.dir, "standin", "run", "--settings", fmt.Sprintf("engines-%d.yaml", i))
		startInDir(b, f.dir, "agent", "--settings", fmt.Sprintf("endpoint-%d.yaml", i))
	}
	assert.NilError(b, publishDemo(b.Context(), tableservice.New(netip.MustParseAddrPort(f.platform), "")))
	startInDir(b, f.dir, "router", "--settings", "router-1.yaml")
	address := netip.MustParseAddrPort(f.addresses["router_1_callers"])
	for i := 0; ; i++ {
		answer, err := demoTurn(b.Context(), address)
		if err == nil && answer.Complete {
			return f
		}
		assert.Assert(b, i < 400, "the fleet did not answer a turn in time: %v", err)
		time.Sleep(50 * time.Millisecond)
	}
}

func benchFleet(b *testing.B, tokens int) {
	const agents, engines = 3, 4
	f := startFleet(b, agents, engines)
	time.Sleep(2 * time.Second)
	router := f.addresses["router_1_callers"]
	idleStart := time.Now()
	idleBefore := usageOf(b, router)
	agentIdleBefore := usageOfAgents(b, f, agents)
	time.Sleep(8 * time.Second)
	idleAfter := usageOf(b, router)
	agentIdleAfter := usageOfAgents(b, f, agents)
	idleTook := time.Since(idleStart).Seconds()
	agentBefore := usageOfAgents(b, f, agents)
	routerBefore := usageOf(b, router)
	routed := sendTurns(b, netip.MustParseAddrPort(router), tokens, nil)
	routerAfter := usageOf(b, router)
	agentAfter := usageOfAgents(b, f, agents)
	direct := sendTurns(b, netip.AddrPort{}, tokens, f)
	turns := float64(len(routed))
	b.ReportMetric(0, "ns/op")
	b.ReportMetric((idleAfter.cpu-idleBefore.cpu)/idleTook*100, "router-idle-%core")
	b.ReportMetric((agentIdleAfter.cpu-agentIdleBefore.cpu)/idleTook/agents*100, "agent-idle-%core")
	b.ReportMetric((idleAfter.control-idleBefore.control)/idleTook, "router-ctl-B/s")
	b.ReportMetric((routerAfter.cpu-routerBefore.cpu)/turns*1e6, "router-us/turn")
	b.ReportMetric((agentAfter.cpu-agentBefore.cpu)/turns*1e6, "agents-us/turn")
	b.ReportMetric(routerAfter.memory/1e6, "router-MB")
	b.ReportMetric(agentAfter.memory/agents/1e6, "agent-MB")
	b.ReportMetric(turns/benchRate/benchSeconds, "answered")
	b.ReportMetric(percentile(routed, 50)-percentile(direct, 50), "added-p50-ms")
	b.ReportMetric(percentile(routed, 99)-percentile(direct, 99), "added-p99-ms")
}

// percentile returns a percentile of times, in milliseconds. It sorts them.
func percentile(times []time.Duration, percent int) float64 {
	slices.Sort(times)
	return float64(times[len(times)*percent/100].Microseconds()) / 1000
}

// sendTurns sends turns at a constant rate, to the router at address or, if f is not nil,
// directly to the engines of f. It returns the times to the first token.
func sendTurns(b *testing.B, address netip.AddrPort, tokens int, f *testFleet) []time.Duration {
	var mu sync.Mutex
	var times []time.Duration
	var group sync.WaitGroup
	client := caller.New()
	ticker := time.NewTicker(time.Second / benchRate)
	defer ticker.Stop()
	for i := range benchRate * benchSeconds {
		<-ticker.C
		group.Go(func() {
			first, err := askRouter(b.Context(), client, address, i, tokens)
			if f != nil {
				name := fmt.Sprintf("endpoint_%d_engine_%d", i%3+1, i/3%4+1)
				first, err = askEngine(b.Context(), netip.MustParseAddrPort(f.addresses[name]), i, tokens)
			}
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				times = append(times, first)
			}
		})
	}
	group.Wait()
	return times
}

// askRouter sends one turn to a router, and returns the time to the first token.
func askRouter(ctx context.Context, client *caller.Client, address netip.AddrPort, i, tokens int) (time.Duration, error) {
	if !address.IsValid() {
		return 0, nil
	}
	answer, err := client.Complete(ctx, address, &caller.Turn{
		Key: devKey, Chat: ryeford.ChatID(fmt.Sprintf("bench-%d", i)), Model: devModel, MaxTokens: tokens,
		Messages: []ryeford.Message{{Role: "user", Content: "hello"}},
	})
	if err != nil {
		return 0, err
	}
	if answer.Failure != nil {
		return 0, answer.Failure
	}
	return answer.FirstToken, nil
}

// askEngine sends one turn to an engine, and returns the time to the first token.
func askEngine(ctx context.Context, address netip.AddrPort, i, tokens int) (time.Duration, error) {
	start := time.Now()
	reader, err := engine.New(address).Complete(ctx, ryeford.ChatID(fmt.Sprintf("direct-%d", i)), &ryeford.Completion{
		Attempt: ryeford.AttemptID(fmt.Sprintf("direct-%d-%d", i, start.UnixNano())), Pool: ryeford.Pool{Model: devModel},
		MaxTokens: tokens, Messages: []ryeford.Message{{Role: "user", Content: "hello"}},
	})
	if err != nil {
		return 0, err
	}
	defer func() { _ = reader.Close() }()
	_, err = reader.Next()
	first := time.Since(start)
	for err == nil {
		_, err = reader.Next()
	}
	return first, nil
}

// A usage is the resource usage of a process, according to its metrics.
type usage struct {
	cpu     float64 // seconds
	memory  float64 // resident bytes
	control float64 // bytes of gossip sent
}

// usageOfAgents returns the total usage of the agents.
func usageOfAgents(b *testing.B, f *testFleet, agents int) usage {
	var sum usage
	for i := 1; i <= agents; i++ {
		u := usageOf(b, f.addresses[fmt.Sprintf("endpoint_%d_metrics", i)])
		sum.cpu += u.cpu
		sum.memory += u.memory
		sum.control += u.control
	}
	return sum
}

// usageOf returns the usage of the process with a metrics address.
func usageOf(b *testing.B, address string) usage {
	metrics := metricsOf(b, address)
	return usage{
		cpu:     metrics["process_cpu_seconds_total"],
		memory:  metrics["process_resident_memory_bytes"],
		control: metrics["ryeford_control_sent_bytes_total"],
	}
}

// metricsOf returns the metrics of the process with a metrics address, by name.
func metricsOf(b *testing.B, address string) map[string]float64 {
	response, err := http.Get("http://" + address + "/metrics")
	assert.NilError(b, err)
	defer func() { _, _ = io.Copy(io.Discard, response.Body); _ = response.Body.Close() }()
	metrics := make(map[string]float64)
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		name, text, _ := strings.Cut(scanner.Text(), " ")
		if value, err := strconv.ParseFloat(text, 64); err == nil { // skips comments
			metrics[name] = value
		}
	}
	return metrics
}
