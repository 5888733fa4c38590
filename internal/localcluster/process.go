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
)

// process keeps one controller running: a real process, started again whenever it ends.
type process struct {
	name    string
	program string
	args    []string
	output  *os.File
	log     *slog.Logger

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{} // when the process that runs now has ended
	Ends  int           // that nobody asked for
	asked bool          // somebody did
}

// How soon a process is started again: at once after a long life, later if it ends again and
// again.
const (
	againFirst = 500 * time.Millisecond
	againMost  = 10 * time.Second
	longLife   = 20 * time.Second
	endWithin  = 3 * time.Second
)

// run keeps the process until ctx ends, and then ends it.
func (p *process) run(ctx context.Context) {
	again := againFirst
	for ctx.Err() == nil {
		began := time.Now()
		err := p.start()
		if err != nil {
			p.log.Error("controller does not start", "node", p.name, "err", err)
		} else {
			select {
			case <-p.ended:
			case <-ctx.Done():
				p.end()
				return
			}
			p.mu.Lock()
			asked := p.asked
			if !asked {
				p.Ends++
			}
			p.asked = false
			p.mu.Unlock()
			p.log.Info("controller has ended", "node", p.name, "asked", asked, "state", p.cmd.ProcessState.String())
		}
		if time.Since(began) > longLife {
			again = againFirst
		}
		sleepUntil(ctx, time.Now().Add(again))
		again = min(againMost, 2*again)
	}
}

func (p *process) start() error {
	cmd := exec.Command(p.program, p.args...)
	cmd.Stdout, cmd.Stderr = p.output, p.output
	// It ends with this process, however that ends, and gets no signal of the terminal's.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.program, err)
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended = cmd, ended
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait() // how it ended is in its state
		close(ended)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.log.Error("controller can't be signalled", "node", p.name, "err", err)
	}
}

// kill ends the process as a crash does; it is started again.
func (p *process) kill() {
	p.mu.Lock()
	p.asked = true
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
}

// stopped stops the process, or lets it go on.
func (p *process) stopped(on bool) {
	if on {
		p.signal(syscall.SIGSTOP)
	} else {
		p.signal(syscall.SIGCONT)
	}
}

// end ends the process for good.
func (p *process) end() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(endWithin):
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
}

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
