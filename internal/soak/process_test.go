package soak

import (
	"bytes"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// A process is a process that the soak has started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
	err  error         // exit status; valid after done
	// lastReadyAt is when the last probe was sent that it answered as ready, or nil.
	lastReadyAt atomic.Pointer[time.Time]
}

// raceOptions disables the race detector's sleep of one second at exit, which would exceed
// the grace period.
const raceOptions = "GORACE=atexit_sleep_ms=0"

// start starts the program with its output written to log.
func start(log *lockedBuffer, args ...string) (*process, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &process{cmd: exec.Command(executable, args...), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), programVariable+"=1", raceOptions)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// signal sends a signal to the process. If it has already ended, that is not an error.
func (p *process) signal(signal syscall.Signal) { _ = p.cmd.Process.Signal(signal) }

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// A lockedBuffer holds the output of processes. It is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(content []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(content)
}

// Len returns the number of bytes written.
func (b *lockedBuffer) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Len()
}

// From returns the output from an offset on.
func (b *lockedBuffer) From(offset int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return string(b.buffer.Bytes()[offset:])
}
