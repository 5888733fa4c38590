package scaletest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// terminationTimeout is how long a cell's process may take to stop everything that it started, after SIGTERM.
const terminationTimeout = 10 * time.Second

// Launcher plays cells, each in a process of its own: for all cells together, one process would have too few file
// descriptors and too much garbage to collect.
type Launcher struct {
	Command func(ctx context.Context) *exec.Cmd // returns the command that reads a cell and writes its point, see ServeCell
	Stderr  io.Writer                           // receives the standard error of the processes
}

// Run plays cells concurrently and returns their points in the order of the cells, nil for a cell that failed. When ctx
// ends, all started processes are terminated.
func (l *Launcher) Run(ctx context.Context, cells []Cell) ([]*Point, error) {
	points, failures := make([]*Point, len(cells)), make([]error, len(cells))
	errs := &synchronizedWriter{writer: l.Stderr}
	var processes sync.WaitGroup
	for i := range cells {
		processes.Go(func() {
			// Pdeathsig (see play) is sent when the thread that started the child exits, not the process, so this goroutine
			// keeps its thread.
			runtime.LockOSThread()
			points[i], failures[i] = l.play(ctx, &cells[i], errs)
		})
	}
	processes.Wait()
	return points, errors.Join(failures...)
}

// play plays one cell in a new process and returns its point.
func (l *Launcher) play(ctx context.Context, cell *Cell, errs io.Writer) (*Point, error) {
	raw, err := json.Marshal(cell)
	if err != nil {
		return nil, fmt.Errorf("cell %s: %w", cell.Region, err)
	}
	cmd := l.Command(ctx)
	cmd.Stdin, cmd.Stderr = bytes.NewReader(raw), errs
	var out bytes.Buffer
	cmd.Stdout = &out
	// In a process group of its own the process does not receive signals from the terminal. It gets SIGTERM when ctx
	// ends, or when this process exits for any reason.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGTERM}
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	cmd.WaitDelay = terminationTimeout
	runErr := cmd.Run()
	if ctx.Err() != nil {
		return nil, fmt.Errorf("cell %s: %w", cell.Region, ctx.Err())
	}
	var p Point
	if err := json.Unmarshal(out.Bytes(), &p); err != nil {
		return nil, fmt.Errorf("cell %s: its process wrote no valid point: %w", cell.Region, errors.Join(runErr, err))
	}
	return &p, nil
}

// ServeCell is the main function of a cell's process: it reads a cell from in, plays it, and writes its point to out.
func ServeCell(ctx context.Context, in io.Reader, out io.Writer, log *slog.Logger) error {
	var c Cell
	if err := json.NewDecoder(bufio.NewReader(in)).Decode(&c); err != nil {
		return fmt.Errorf("decode the cell to play: %w", err)
	}
	p, err := c.Play(ctx, log)
	if err != nil {
		return fmt.Errorf("cell %s: %w", c.Region, err)
	}
	return p.Write(out)
}

// synchronizedWriter serializes the writes of several processes, so that their log lines don't mix.
type synchronizedWriter struct {
	mu     sync.Mutex
	writer io.Writer
}

// Write writes data while holding the lock.
func (w *synchronizedWriter) Write(data []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.writer.Write(data)
}

// Verdict returns an error if the cell broke a rule, if a controller exited unexpectedly, or if no task was started.
// Latencies are not judged.
func (p *Point) Verdict() error {
	var bad []error
	for _, b := range p.BrokenRules {
		bad = append(bad, fmt.Errorf("%s: broken rule: %s", p.Region, b))
	}
	if p.UnexpectedExits > 0 {
		bad = append(bad, fmt.Errorf("%s: %d controllers ended by themselves", p.Region, p.UnexpectedExits))
	}
	if p.StartsPerS == 0 {
		bad = append(bad, fmt.Errorf("%s: no task was started", p.Region))
	}
	return errors.Join(bad...)
}
