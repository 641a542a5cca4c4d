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

// testLimit ends a test whose condition never comes true.
const testLimit = 20 * time.Second

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

// call makes one call, and returns the status of its answer.
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

// write starts a write of one row, and returns a channel that is closed once it is
// answered.
func (p *testPlatform) write(key string) <-chan struct{} {
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		request := &tableservice.TransactRequest{Writes: []ryeford.Write{{Key: key, IfVersion: ryeford.AnyVersion}}}
		assert.Check(p.t, p.call(fasthttp.MethodPost, tableservice.PathTransact, request) == fasthttp.StatusOK)
	}()
	return answered
}

// within waits until a channel is closed.
func within(t *testing.T, done <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(testLimit):
		t.Fatalf("%s: never came", what)
	}
}

// TestPlatformSlowDisk has the state's file take no byte, as a named pipe does that
// nobody reads. Only writes wait for it, and they are answered once it has them.
func TestPlatformSlowDisk(t *testing.T) {
	file := filepath.Join(t.TempDir(), "state.json")
	next := file + ".next"
	assert.NilError(t, syscall.Mkfifo(next, 0o600))
	p := newTestPlatform(t, file)
	first := p.write("a")
	applied := func() bool { return len(p.table.Contents().Rows) == 1 }
	for limit := time.Now().Add(testLimit); !applied(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(limit), "the write was never applied")
	}

	others := make(chan struct{})
	go func() {
		defer close(others)
		assert.Check(t, p.call(fasthttp.MethodPost, tableservice.PathGet, &tableservice.GetRequest{Keys: []string{"a"}}) == fasthttp.StatusOK)
		assert.Check(t, p.call(fasthttp.MethodPost, tableservice.PathList, &tableservice.ListRequest{}) == fasthttp.StatusOK)
		assert.Check(t, p.call(fasthttp.MethodGet, tableservice.PathVMs, nil) == fasthttp.StatusOK)
		assert.Check(t, p.call(fasthttp.MethodPost, PathFault, &PlatformFault{}) == fasthttp.StatusOK)
	}()
	within(t, others, "calls that save nothing")
	second := p.write("b")
	select {
	case <-first:
		t.Fatal("answered before its state was saved")
	case <-second:
		t.Fatal("answered before its state was saved")
	default:
	}

	// The pipe becomes the file at its first whole write; the second makes a new one.
	reader, err := os.Open(next)
	assert.NilError(t, err)
	defer func() { _ = reader.Close() }()
	within(t, first, "the first write's answer")
	within(t, second, "the second write's answer")
}

// TestPlatformState checks that a stand-in that is started again has what was written,
// also by writes at once, of which a later one may be saved first.
func TestPlatformState(t *testing.T) {
	file := filepath.Join(t.TempDir(), "state.json")
	p := newTestPlatform(t, file)
	keys := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	var answered []<-chan struct{}
	for _, key := range keys {
		answered = append(answered, p.write(key))
	}
	for _, done := range answered {
		within(t, done, "a write's answer")
	}
	assert.Equal(t, p.call(fasthttp.MethodPut, tableservice.PathObjects+"plan", "content"), fasthttp.StatusOK)
	assert.Equal(t, p.call(fasthttp.MethodPost, tableservice.PathVMs, &ryeford.VM{ID: "vm-1"}), fasthttp.StatusOK)

	again := newTestPlatform(t, file)
	assert.DeepEqual(t, again.table.Contents(), p.table.Contents())
	assert.Equal(t, len(again.table.Contents().Rows), len(keys))
	assert.Equal(t, string(again.objects["plan"]), `"content"`)
	assert.Equal(t, again.vms["vm-1"].ID, ryeford.VMID("vm-1"))
}
