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

// endWithin is how long a cell's process may take to end all that it started, once it is asked to.
const endWithin = 10 * time.Second

// Launcher plays cells, each in a process of its own: a process has too few files and too much to collect for all of them.
type Launcher struct {
	Command func(ctx context.Context) *exec.Cmd // the process that reads a cell and writes its point, see ServeCell
	Errs    io.Writer                           // gets what the processes log
}

// Run plays cells side by side and returns their points, in the cells' order, as far as there are any. When ctx ends, all
// that was started ends too.
func (l *Launcher) Run(ctx context.Context, cells []Cell) ([]*Point, error) {
	points, failures := make([]*Point, len(cells)), make([]error, len(cells))
	errs := &lockedWriter{to: l.Errs}
	var all sync.WaitGroup
	for i := range cells {
		all.Go(func() {
			runtime.LockOSThread() // a process that ends with its parent does so with the thread that began it
			points[i], failures[i] = l.play(ctx, &cells[i], errs)
		})
	}
	all.Wait()
	return points, errors.Join(failures...)
}

func (l *Launcher) play(ctx context.Context, cell *Cell, errs io.Writer) (*Point, error) {
	raw, err := json.Marshal(cell)
	if err != nil {
		return nil, fmt.Errorf("cell %s: %w", cell.Region, err)
	}
	cmd := l.Command(ctx)
	cmd.Stdin, cmd.Stderr = bytes.NewReader(raw), errs
	var out bytes.Buffer
	cmd.Stdout = &out
	// The process gets no signal of the terminal's: it is asked to end, and ends with this one however that does.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGTERM}
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	cmd.WaitDelay = endWithin
	runErr := cmd.Run()
	if ctx.Err() != nil {
		return nil, fmt.Errorf("cell %s: %w", cell.Region, ctx.Err())
	}
	var p Point
	if err := json.Unmarshal(out.Bytes(), &p); err != nil {
		return nil, fmt.Errorf("cell %s: no point: %w", cell.Region, errors.Join(runErr, err))
	}
	return &p, nil
}

// ServeCell is what a cell's process does: it reads a cell, plays it, and writes its point.
func ServeCell(ctx context.Context, in io.Reader, out io.Writer, log *slog.Logger) error {
	var c Cell
	if err := json.NewDecoder(bufio.NewReader(in)).Decode(&c); err != nil {
		return fmt.Errorf("cell: %w", err)
	}
	p, err := c.Play(ctx, log)
	if err != nil {
		return fmt.Errorf("cell %s: %w", c.Region, err)
	}
	return p.Write(out)
}

// lockedWriter lets several processes write whole pieces.
type lockedWriter struct {
	mu sync.Mutex
	to io.Writer
}

// Write writes data in one piece.
func (w *lockedWriter) Write(data []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.to.Write(data)
}

// Verdict tells what is wrong with a point: broken rules, and controllers that ended by themselves. Times have no part in it.
func (p *Point) Verdict() error {
	var bad []error
	for _, b := range p.BrokenRules {
		bad = append(bad, fmt.Errorf("%s: broken rule: %s", p.Region, b))
	}
	if p.Ends > 0 {
		bad = append(bad, fmt.Errorf("%s: %d controllers ended by themselves", p.Region, p.Ends))
	}
	if p.StartsPerS == 0 {
		bad = append(bad, fmt.Errorf("%s: no task was started", p.Region))
	}
	return errors.Join(bad...)
}
