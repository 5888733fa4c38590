package localcluster

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"dykeledge/internal/wait"
)

// process supervises one controller: it runs the program and restarts it whenever it exits.
type process struct {
	name    string
	program string
	args    []string
	output  *os.File
	log     *slog.Logger

	mu              sync.Mutex
	cmd             *exec.Cmd
	exited          chan struct{} // closed when the current process has exited
	exitExpected    bool          // kill was called, so the next exit is expected
	unexpectedExits int           // number of unexpected exits
}

// Back-off of restarts: the pause doubles with every exit, from minRestartPause to maxRestartPause, and starts
// over after a process has run for longer than stableRunTime.
const (
	minRestartPause = 500 * time.Millisecond
	maxRestartPause = 10 * time.Second
	stableRunTime   = 20 * time.Second
)

// terminationTimeout is how long a process may take to exit after SIGTERM before it is killed.
const terminationTimeout = 3 * time.Second

// run keeps the process running until ctx ends, and then terminates it.
func (p *process) run(ctx context.Context) {
	pause := minRestartPause
	for ctx.Err() == nil {
		began := time.Now()
		if exited, err := p.start(ctx); err != nil {
			p.log.Error("controller process failed to start", "controller", p.name, "err", err)
		} else {
			<-exited
			if ctx.Err() != nil {
				return
			}
			p.recordExit()
		}
		if time.Since(began) > stableRunTime {
			pause = minRestartPause
		}
		wait.For(ctx, pause)
		pause = min(maxRestartPause, 2*pause)
	}
}

// recordExit logs an exit of the process, and counts it if it was unexpected.
func (p *process) recordExit() {
	p.mu.Lock()
	expected := p.exitExpected
	if !expected {
		p.unexpectedExits++
	}
	p.exitExpected = false
	p.mu.Unlock()
	p.log.Info("controller process exited", "controller", p.name, "asked", expected, "state", p.cmd.ProcessState.String())
}

// start starts the process and returns a channel that is closed when it has exited, which happens at the latest
// terminationTimeout after ctx ends.
func (p *process) start(ctx context.Context) (exited <-chan struct{}, err error) {
	cmd := exec.CommandContext(ctx, p.program, p.args...)
	cmd.Stdout, cmd.Stderr = p.output, p.output
	// The controller is killed when this process exits for any reason. In a process group of its own it does not
	// receive signals from the terminal.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	cmd.Cancel = func() error {
		p.signal(syscall.SIGCONT) // a process that a fault has stopped would not handle SIGTERM
		p.signal(syscall.SIGTERM)
		return nil
	}
	cmd.WaitDelay = terminationTimeout // after this it is killed
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", p.program, err)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, done
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait() // recordExit logs ProcessState
		close(done)
	}()
	return done, nil
}

// signal sends a signal to the current process, if there is one.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if err := p.cmd.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.log.Error("sending a signal to the controller process failed", "controller", p.name, "err", err)
	}
}

// kill kills the process with SIGKILL, as in a crash; run restarts it.
func (p *process) kill() {
	p.mu.Lock()
	p.exitExpected = true
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
}

// suspend suspends the process with SIGSTOP until resume is called.
func (p *process) suspend() { p.signal(syscall.SIGSTOP) }

// resume continues a suspended process with SIGCONT.
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// pid returns the id of the current process, or 0 if none runs.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	select {
	case <-p.exited:
		return 0
	default:
		return p.cmd.Process.Pid
	}
}
