package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/internal/freeport"
)

// TestHangupAtStart guards against SIGHUP ending a gateway that is still reading its first
// settings. They are in a FIFO, which blocks the read until the signal was sent.
func TestHangupAtStart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "gateway.yaml")
	assert.NilError(t, syscall.Mkfifo(file, 0o600))
	var log lockedBuffer
	p, err := start(&log, "gateway", "--settings", file)
	assert.NilError(t, err)
	defer func() {
		p.signal(syscall.SIGKILL)
		<-p.done
	}()
	// OpenFile returns once the gateway has opened the other end.
	settings, err := os.OpenFile(file, os.O_WRONLY, 0)
	assert.NilError(t, err)
	p.signal(syscall.SIGHUP)
	_, err = fmt.Fprintf(settings, "vm: g\nregion: r\nfailure_domain: a\ncallers: %q\nreadiness: %q\nstore: %q\n",
		freeport.Next(), freeport.Next(), freeport.Next())
	assert.NilError(t, err)
	assert.NilError(t, settings.Close())
	for limit := time.Now().Add(conditionTimeout); time.Now().Before(limit); time.Sleep(conditionPollInterval) {
		assert.Assert(t, !p.ended(), "the gateway exited: %v", p.err)
		if strings.Contains(log.From(0), "msg=started") {
			return
		}
	}
	t.Fatal("the gateway did not start in time")
}
