//go:build review

package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// A process is a process that this case has started.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
	log     string // file of its output
}

// start starts a program. Its output goes to a file in dir.
func start(dir, name string, env []string, program string, args ...string) (*process, error) {
	p := &process{ended: make(chan struct{}), log: filepath.Join(dir, name+".log")}
	out, err := os.Create(p.log)
	if err != nil {
		return nil, err
	}
	p.command = exec.Command(program, args...)
	p.command.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}, env...)
	p.command.Stdout, p.command.Stderr = out, out
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, errors.Join(err, out.Close())
	}
	go func() {
		_ = p.command.Wait()
		_ = out.Close()
		close(p.ended)
	}()
	return p, nil
}

// signal sends a signal to the process, if it runs.
func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// residentMB returns the resident memory of the process in megabytes, or zero if it has ended.
func (p *process) residentMB() int {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(p.command.Process.Pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			return kilobytes / 1024
		}
	}
	return 0
}
