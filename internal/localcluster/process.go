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

// process keeps one controller running: a real process, started again whenever it ends.
type process struct {
	name    string
	program string
	args    []string
	output  *os.File
	log     *slog.Logger

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{} // when the process that runs now has ended
	asked   bool          // its next end is asked for
	unasked int           // ends that nobody asked for
}

// How soon a process is started again: at once after a long life, later if it ends again and
// again.
const (
	firstRestartPause   = 500 * time.Millisecond
	longestRestartPause = 10 * time.Second
	longLife            = 20 * time.Second
)

// endWithin is how long a process may take to end once it is asked to, before it is killed.
const endWithin = 3 * time.Second

// run keeps the process until ctx ends, and then ends it.
func (p *process) run(ctx context.Context) {
	pause := firstRestartPause
	for ctx.Err() == nil {
		began := time.Now()
		if ended, err := p.start(ctx); err != nil {
			p.log.Error("controller does not start", "controller", p.name, "err", err)
		} else {
			<-ended
			if ctx.Err() != nil {
				return
			}
			p.noteEnd()
		}
		if time.Since(began) > longLife {
			pause = firstRestartPause
		}
		wait.For(ctx, pause)
		pause = min(longestRestartPause, 2*pause)
	}
}

// noteEnd counts an end that nobody asked for, and logs every end.
func (p *process) noteEnd() {
	p.mu.Lock()
	asked := p.asked
	if !asked {
		p.unasked++
	}
	p.asked = false
	p.mu.Unlock()
	p.log.Info("controller has ended", "controller", p.name, "asked", asked, "state", p.cmd.ProcessState.String())
}

// start starts the process and returns what is closed when it has ended, which it does at the latest
// endWithin after ctx.
func (p *process) start(ctx context.Context) (ended <-chan struct{}, err error) {
	cmd := exec.CommandContext(ctx, p.program, p.args...)
	cmd.Stdout, cmd.Stderr = p.output, p.output
	// It ends with this process, however that ends, and gets no signal of the terminal's.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	cmd.Cancel = func() error {
		p.signal(syscall.SIGCONT) // one that a fault has stopped would not see the other signal
		p.signal(syscall.SIGTERM)
		return nil
	}
	cmd.WaitDelay = endWithin // then it is killed
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", p.program, err)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended = cmd, done
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait() // how it ended is in its state
		close(done)
	}()
	return done, nil
}

// signal sends a signal to the process that runs now, if one does.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if err := p.cmd.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.log.Error("controller can't be signalled", "controller", p.name, "err", err)
	}
}

// kill ends the process as a crash does; it is started again.
func (p *process) kill() {
	p.mu.Lock()
	p.asked = true
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
}

// stop stops the process until resume lets it go on.
func (p *process) stop() { p.signal(syscall.SIGSTOP) }

// resume lets a process go on that was stopped.
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// pid is the process that runs now, 0 if none does.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	select {
	case <-p.ended:
		return 0
	default:
		return p.cmd.Process.Pid
	}
}
