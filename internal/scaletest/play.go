package scaletest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dykeledge/internal/client"
	"dykeledge/internal/loadgen"
	"dykeledge/internal/localcluster"
	"dykeledge/internal/protocol"
	"dykeledge/internal/simulator"
	"dykeledge/internal/wait"
)

// How a run is watched.
const (
	readyWithin   = 60 * time.Second
	sampleEvery   = time.Second
	peaksEvery    = 5  // samples
	progressEvery = 10 // samples
	ticksEvery    = 20 * time.Millisecond
	// mostLateness is how late the hollow side's timers may be, at the 99th percentile, before its own lateness would count
	// as the controllers'.
	mostLateness = 50.0 // milliseconds
)

// Loopback addresses of a cell: a network 127.N.0.0/16 that no other cell on this machine has. Workers and controllers have
// fixed ports below those that the system hands out, so that no outgoing connection can take them.
const (
	firstNetwork   = 64
	lastNetwork    = 250
	workerPort     = 9000
	publicPort     = 8080
	peerPort       = 8081
	lockPort       = 8079
	controllersNet = 255
)

// reserveNetwork finds a network that no other cell on this machine uses, of this run or another's: two cells at the same addresses would play each
// other's workers. The network is held until the listener is closed.
func reserveNetwork(ctx context.Context) (int, net.Listener, error) {
	var listenConfig net.ListenConfig
	for network := firstNetwork; network <= lastNetwork; network++ {
		address := fmt.Sprintf("127.%d.%d.254:%d", network, controllersNet, lockPort)
		if listener, err := listenConfig.Listen(ctx, "tcp4", address); err == nil {
			return network, listener, nil
		}
	}
	return 0, nil, errors.New("no free loopback network for a cell")
}

// watch gathers what a run measures while it goes on.
type watch struct {
	cell    *Cell
	cluster *localcluster.Cluster
	log     *slog.Logger

	mu       sync.Mutex
	from     time.Time // of the measured time
	urgent   *hdrhistogram.Histogram
	launched map[string]bool // urgent tasks that a worker has taken up before
	lateness *hdrhistogram.Histogram

	operators *operators // nil: nothing is changed
	peaks     []peaks
	gap       time.Duration // the longest time without a start
	started   int
	lastMove  time.Time
}

// Play plays a cell in this process until its time is over, and returns what it measured. Progress goes to the log.
func (c *Cell) Play(ctx context.Context, log *slog.Logger) (*Point, error) {
	dir := filepath.Join(c.Dir, c.Region)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	network, held, err := reserveNetwork(ctx)
	if err != nil {
		return nil, err
	}
	defer func() { _ = held.Close() }() // nobody was served
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cluster, err := localcluster.Start(ctx, c.options(dir, network, log))
	if err != nil {
		return nil, err
	}
	defer cluster.Stop()
	watch := newWatch(c, cluster, log)
	within, stop := context.WithTimeout(ctx, readyWithin)
	defer stop()
	if err := cluster.Ready(within, client.Ready); err != nil {
		return nil, err
	}
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	done := make(chan loadgen.Result, 1)
	users := client.New(cluster.Users)
	runner := &loadgen.Runner{To: users, Upload: watch.upload}
	users.Retried = runner.Retried
	background.Go(func() { done <- runner.Run(ctx, c.Arrivals(), 0) })
	background.Go(func() { watch.measureLateness(ctx) })
	if (c.Cut == Changes || c.Cut == Faults) && c.Profile.ChangesADay > 0 {
		watch.operators = newOperators(c, cluster.Controllers)
		background.Go(func() { watch.operators.run(ctx, c.Profile.ChangesADay/secondsADay) })
	}
	if !wait.For(ctx, seconds(c.WarmUpS)) {
		return nil, ctx.Err()
	}
	point, err := watch.measure(ctx)
	if err != nil {
		return nil, err
	}
	cancel()
	result := <-done
	point.AcceptMs = Span{result.Accept.Count, float64(result.Accept.P50), float64(result.Accept.P99), float64(result.Accept.Max)}
	point.Retries = result.Retries
	point.BrokenRules = append(point.BrokenRules, usersRules(&result)...)
	return point, nil
}

// usersRules are the rules whose breach users notice.
func usersRules(r *loadgen.Result) (broken []string) {
	if r.WentBack > 0 {
		broken = append(broken, fmt.Sprintf("went_back: %d jobs", r.WentBack))
	}
	if r.Rejected > 0 {
		broken = append(broken, fmt.Sprintf("%d jobs were rejected", r.Rejected))
	}
	return broken
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// options is the cluster that a cell plays.
func (c *Cell) options(dir string, network int, log *slog.Logger) localcluster.Options {
	o := localcluster.Options{Program: c.Program, Machines: c.Workers, Up: c.Workers, Seed: c.Seed, Speed: 1, Dir: dir, Log: log,
		Deployment: c.Deployment(), Catalog: c.Catalog(), SharedTicker: true, Delay: c.delay,
		Addresses: localcluster.Addresses{
			Worker: func(n int) string { return fmt.Sprintf("127.%d.%d.%d:%d", network, n>>8&0xff, n&0xff, workerPort) },
			Controller: func(i int) (string, string) {
				host := fmt.Sprintf("127.%d.%d.%d", network, controllersNet, i+1)
				return fmt.Sprintf("%s:%d", host, publicPort), fmt.Sprintf("%s:%d", host, peerPort)
			}}}
	if c.Cut == Faults {
		o.Faults = c.schedule()
	}
	return o
}

// delay is how long a message takes between two zones; one whose sender can't be told takes the longer time.
func (c *Cell) delay(from, to string) time.Duration {
	ms := c.Profile.Delays.BetweenZonesMs
	if from == to {
		ms = c.Profile.Delays.WithinZoneMs
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// newWatch makes a watch that is told of every launch from now on.
func newWatch(c *Cell, cluster *localcluster.Cluster, log *slog.Logger) *watch {
	w := &watch{cell: c, cluster: cluster, log: log, urgent: newHistogram(), lateness: newHistogram(), launched: map[string]bool{},
		peaks: make([]peaks, len(cluster.Controllers))}
	cluster.Simulation.Launched = w.onLaunch
	return w
}

// upload puts a job's description where the hollow workers read it; a job counts as submitted from then on.
func (w *watch) upload(_ string, description []byte) error {
	var u simulator.Upload
	if err := json.Unmarshal(description, &u); err != nil {
		return err
	}
	u.Spread = runSpread
	return w.cluster.Simulation.AddJob(u)
}

// onLaunch measures urgent tasks from their submission to their first launch. The simulation is locked.
func (w *watch) onLaunch(job *simulator.Job, index int) {
	if job.Spec["jobclass"] != urgentClass {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	task := protocol.TaskName(job.ID, index)
	if w.launched[task] {
		return
	}
	w.launched[task] = true
	if !w.from.IsZero() && job.At.After(w.from) {
		record(w.urgent, time.Since(job.At))
	}
}

// measureLateness finds out by how much this process's timers are late.
func (w *watch) measureLateness(ctx context.Context) {
	for ctx.Err() == nil {
		due := time.Now().Add(ticksEvery)
		if !wait.For(ctx, ticksEvery) {
			return
		}
		w.mu.Lock()
		record(w.lateness, time.Since(due))
		w.mu.Unlock()
	}
}

// measure watches the cell for its measured time, and makes its point.
func (w *watch) measure(ctx context.Context) (*Point, error) {
	w.mu.Lock()
	w.from = time.Now()
	w.lateness.Reset()
	w.mu.Unlock()
	if o := w.operators; o != nil {
		o.mu.Lock()
		o.from = w.from
		o.mu.Unlock()
	}
	first := take(w.cluster, w.log)
	w.started, w.lastMove = first.stats.Started, first.at
	for n := 1; time.Since(first.at) < seconds(w.cell.MeasureS); n++ {
		if !wait.For(ctx, sampleEvery) {
			return nil, ctx.Err()
		}
		w.watchStarts(n)
		if n%peaksEvery == 0 {
			w.notePeaks()
		}
	}
	last := take(w.cluster, w.log)
	w.notePeaks()
	return w.point(first, last), nil
}

// watchStarts notes how long no task has been started; n counts the samples.
func (w *watch) watchStarts(n int) {
	now, stats := time.Now(), w.cluster.Simulation.Stats()
	if stats.Started > w.started {
		w.started, w.lastMove = stats.Started, now
	}
	w.gap = max(w.gap, now.Sub(w.lastMove))
	if n%progressEvery == 0 {
		w.log.Info("measuring", "region", w.cell.Region, "started", stats.Started, "running", w.cluster.Simulation.Running(), "broken_rules", len(w.cluster.Simulation.BrokenRules()))
	}
}

// notePeaks notes what the controllers hold now.
func (w *watch) notePeaks() {
	for i, pid := range w.cluster.Pids() {
		if u, err := usageOf(pid); err == nil {
			w.peaks[i].note(u)
		}
	}
}

// point works out what was measured between two samples.
func (w *watch) point(first, last sample) *Point {
	cell, simulation, took := w.cell, w.cluster.Simulation, last.at.Sub(first.at)
	perSecond := func(n float64) float64 { return n / took.Seconds() }
	point := &Point{Run: cell.Run, Commit: cell.Commit, At: time.Now().UTC().Truncate(time.Second), Cut: cell.Cut, Fraction: cell.Fraction, Region: cell.Region, Seed: cell.Seed,
		Workers: cell.Workers, Up: len(simulation.Machines()), OfferedS: cell.StartsPerS, MeasureS: took.Seconds(),
		StartsPerS: perSecond(float64(last.stats.Started - first.stats.Started)),
		Running:    simulation.Running(), LongestGapS: w.gap.Seconds(), LeaseKills: last.stats.LeaseKills, Ends: w.cluster.Ends(), BrokenRules: simulation.BrokenRules(),
		HollowCores: perSecond((last.hollow.cpu - first.hollow.cpu).Seconds()), HollowMB: last.hollow.memMB, HostLoad: hostLoad(),
		WritesPerS: perSecond(float64(last.stats.Writes - first.stats.Writes)), OverPerS: perSecond(float64(last.stats.Over - first.stats.Over)),
		UserConns: w.cluster.LoadBalancer.Opened.Load()}
	point.StateKeys, point.StateBytes = simulation.Store.Size()
	perWorker := func(n int64) float64 { return perSecond(float64(n)) / float64(max(1, point.Up)) }
	// A worker sends heartbeats, and heartbeats as answers to commands; it gets answers, and commands.
	point.WorkerOutBps = perWorker(last.reports.out - first.reports.out + last.commands.out - first.commands.out)
	point.WorkerInBps = perWorker(last.reports.in - first.reports.in + last.commands.in - first.commands.in)
	point.HeartbeatsPerS = perWorker(last.reports.messages - first.reports.messages)
	point.CommandsPerS = perWorker(last.commands.messages - first.commands.messages)
	w.mu.Lock()
	point.UrgentMs, point.LatenessMs = spanOf(w.urgent), spanOf(w.lateness)
	w.mu.Unlock()
	if operators := w.operators; operators != nil {
		operators.mu.Lock()
		point.ChangesMade, point.ChangesFailed = operators.made, operators.failed
		point.ChangeMs, point.LowerMs = spanOf(operators.raised), spanOf(operators.lower)
		operators.mu.Unlock()
	}
	point.Overloaded = point.LatenessMs.P99 > mostLateness
	for i := range last.controllers {
		point.Controllers = append(point.Controllers, between(fmt.Sprintf("n%d", i+1), first.controllers[i], last.controllers[i], w.peaks[i], took))
	}
	return point
}
