package standin

import (
	"encoding/json"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/tableservice"
	"github.com/ryeford/ryeford/settings"
)

// testTimeout limits how long a test waits for a condition.
const testTimeout = 20 * time.Second

// A testPlatform is a platformServer that is called without a network.
type testPlatform struct {
	*platformServer
	t    *testing.T
	file string
}

func newTestPlatform(t *testing.T, file string) *testPlatform {
	t.Helper()
	p, err := newPlatform(&settings.StandinPlatform{State: file}, log.NewNopLogger())
	assert.NilError(t, err)
	return &testPlatform{platformServer: p, t: t, file: file}
}

// call makes one call and returns the status of its answer.
func (p *testPlatform) call(method, path string, body any) int {
	content, err := json.Marshal(body)
	assert.Check(p.t, err)
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI(path)
	ctx.Request.SetBody(content)
	p.serve(&ctx)
	return ctx.Response.StatusCode()
}

// write starts a write of one row and returns a channel that is closed when it is answered.
func (p *testPlatform) write(key string) <-chan struct{} {
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		request := &tableservice.TransactRequest{Writes: []ryeford.Write{{Key: key, IfVersion: ryeford.AnyVersion}}}
		assert.Check(p.t, p.call(fasthttp.MethodPost, tableservice.PathTransact, request) == fasthttp.StatusOK)
	}()
	return answered
}

// waitFor waits until a channel is closed.
func waitFor(t *testing.T, done <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for %s", what)
	}
}

// TestPlatformSlowDisk checks that only writes wait for a slow state file, and that they are
// answered after it is written. The file is a named pipe, which blocks until it is read.
func TestPlatformSlowDisk(t *testing.T) {
	file := filepath.Join(t.TempDir(), "state.json")
	next := file + ".next"
	assert.NilError(t, syscall.Mkfifo(next, 0o600))
	p := newTestPlatform(t, file)
	first := p.write("a")
	applied := func() bool { return len(p.table.Contents().Rows) == 1 }
	for deadline := time.Now().Add(testTimeout); !applied(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the write was not applied in time")
	}

	others := make(chan struct{})
	go func() {
		defer close(others)
		assert.Check(t, p.call(fasthttp.MethodPost, tableservice.PathGet, &tableservice.GetRequest{Keys: []string{"a"}}) == fasthttp.StatusOK)
		assert.Check(t, p.call(fasthttp.MethodPost, tableservice.PathList, &tableservice.ListRequest{}) == fasthttp.StatusOK)
		assert.Check(t, p.call(fasthttp.MethodGet, tableservice.PathVMs, nil) == fasthttp.StatusOK)
		assert.Check(t, p.call(fasthttp.MethodPost, PathFault, &PlatformFault{}) == fasthttp.StatusOK)
	}()
	waitFor(t, others, "calls that don't change the state")
	second := p.write("b")
	select {
	case <-first:
		t.Fatal("answered before its state was saved")
	case <-second:
		t.Fatal("answered before its state was saved")
	default:
	}

	// The first complete write renames the pipe to the state file. The second creates a new file.
	reader, err := os.Open(next)
	assert.NilError(t, err)
	defer func() { _ = reader.Close() }()
	waitFor(t, first, "the first write's answer")
	waitFor(t, second, "the second write's answer")
}

// TestPlatformState checks that a restarted stand-in has everything that was written, including
// concurrent writes, whose states may be saved out of order.
func TestPlatformState(t *testing.T) {
	file := filepath.Join(t.TempDir(), "state.json")
	p := newTestPlatform(t, file)
	keys := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	var answered []<-chan struct{}
	for _, key := range keys {
		answered = append(answered, p.write(key))
	}
	for _, done := range answered {
		waitFor(t, done, "a write's answer")
	}
	assert.Equal(t, p.call(fasthttp.MethodPut, tableservice.PathObjects+"plan", "content"), fasthttp.StatusOK)
	assert.Equal(t, p.call(fasthttp.MethodPost, tableservice.PathVMs, &ryeford.VM{ID: "vm-1"}), fasthttp.StatusOK)

	restarted := newTestPlatform(t, file)
	assert.DeepEqual(t, restarted.table.Contents(), p.table.Contents())
	assert.Equal(t, len(restarted.table.Contents().Rows), len(keys))
	assert.Equal(t, string(restarted.objects["plan"]), `"content"`)
	assert.Equal(t, restarted.vms["vm-1"].ID, ryeford.VMID("vm-1"))
}
