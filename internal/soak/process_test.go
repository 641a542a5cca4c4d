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

// A process is one process that the soak has started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed once it has ended
	err  error         // how it ended; read it after done
	// readyAt is when the last probe was sent that it answered as ready; nil if none was.
	readyAt atomic.Pointer[time.Time]
}

// raceOptions keep a program that is built with the race detector from sleeping for a
// second at its end, which made gateways outlast their grace period.
const raceOptions = "GORACE=atexit_sleep_ms=0"

// start starts the program. What it writes goes to log.
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

// signal signals the process by its id. One that has ended by now gets no signal, which
// is no failure.
func (p *process) signal(signal syscall.Signal) { _ = p.cmd.Process.Signal(signal) }

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// A lockedBuffer holds what processes have written. It may be used from several
// goroutines.
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

// Len returns how many bytes were written.
func (b *lockedBuffer) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Len()
}

// From returns what was written from an offset on.
func (b *lockedBuffer) From(offset int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return string(b.buffer.Bytes()[offset:])
}
