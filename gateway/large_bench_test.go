package gateway_test

import (
	"fmt"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/platform"
	"github.com/ryeford/ryeford/standin/largeconf"
)

const (
	// largeHeap is the heap limit in bytes of a gateway with memory_mb 184.
	largeHeap = 110 << 20
	// largeGCPercent is the garbage collection target of a gateway, in percent.
	largeGCPercent = 50
)

// BenchmarkProbe repeatedly adds routes to the configuration of a gateway on one scheduler thread, and
// probes it meanwhile. It reports the longest wait of a probe, in wall-clock time and in CPU time of
// the process, which includes the fake store and the prober. The CPU time does not depend on the load
// of the machine.
func BenchmarkProbe(b *testing.B) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(largeHeap))
	defer debug.SetGCPercent(debug.SetGCPercent(largeGCPercent))
	for _, routes := range []int{100, 1000, 3000, 10000} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) { benchProbe(b, routes) })
	}
}

// benchProbe changes the configuration of one gateway b.N times.
func benchProbe(b *testing.B, routes int) {
	f := newFixture(b, largeconf.New(1, 100), nil)
	f.addEndpoint("service-00", "e1", 0)
	f.awaitReady(true)
	p := &prober{fixture: f, stop: make(chan struct{})}
	var group sync.WaitGroup
	group.Go(p.run)
	began := time.Now()
	for i := range b.N {
		version := int64(i + 2)
		f.putConfiguration(largeconf.New(version, routes))
		f.awaitLog(fmt.Sprintf("decision=configuration version=%d ", version))
	}
	took := time.Since(began)
	close(p.stop)
	group.Wait()
	assert.NilError(b, p.err)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(took.Seconds()*1000/float64(b.N), "in-force-ms")
	b.ReportMetric(p.longest.Seconds()*1000, "probe-max-ms")
	b.ReportMetric(p.longestCPU.Seconds()*1000, "probe-max-cpu-ms")
}

// A prober repeatedly probes a fixture. Its results are set once run has returned.
type prober struct {
	fixture    *fixture
	stop       chan struct{}
	longest    time.Duration
	longestCPU time.Duration // CPU time of the process
	err        error
}

// run probes until stop is closed or a probe fails.
func (p *prober) run() {
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		sent, used := time.Now(), cpuTime()
		response, err := p.fixture.client.Get(p.fixture.ready + platform.PathReady)
		if err != nil {
			p.err = err
			return
		}
		_ = response.Body.Close()
		p.longest = max(p.longest, time.Since(sent))
		p.longestCPU = max(p.longestCPU, cpuTime()-used)
		if response.StatusCode != http.StatusOK {
			p.err = fmt.Errorf("a probe was answered with %s", response.Status)
			return
		}
	}
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // can't fail with a valid pointer
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
