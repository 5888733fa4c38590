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

// Intervals and limits of a measurement.
const (
	readyTimeout         = 60 * time.Second      // time-out for the first controller to become ready
	checkInterval        = time.Second           // interval between checks for task starts
	checksPerPeakSample  = 5                     // checks between two samples of the controllers' memory, sockets and threads
	checksPerProgressLog = 10                    // checks between two progress log lines
	latenessTickInterval = 20 * time.Millisecond // timer interval with which the lateness of timers is measured
	// maxLatenessMs is the 99th percentile of timer lateness on the hollow side, in milliseconds, above which the run counts
	// as overloaded: the hollow side's own delays would then be attributed to the controllers.
	maxLatenessMs = 50.0
)

// Loopback addresses of a cell. Each cell uses a network 127.N.0.0/16 that no other cell on this machine uses. The ports of
// workers and controllers are fixed and below the system's ephemeral port range, so that no outgoing connection can take
// them.
const (
	firstNetwork     = 64
	lastNetwork      = 250
	workerPort       = 9000
	publicPort       = 8080
	peerPort         = 8081
	reservationPort  = 8079
	controllerSubnet = 255
)

// reserveNetwork returns the number N of a network 127.N.0.0/16 that no other cell on this machine uses, in this run or
// another: controllers of cells at the same addresses would reach each other's workers. The network stays reserved until
// the listener is closed.
func reserveNetwork(ctx context.Context) (int, net.Listener, error) {
	var listenConfig net.ListenConfig
	for network := firstNetwork; network <= lastNetwork; network++ {
		address := fmt.Sprintf("127.%d.%d.254:%d", network, controllerSubnet, reservationPort)
		if listener, err := listenConfig.Listen(ctx, "tcp4", address); err == nil {
			return network, listener, nil
		}
	}
	return 0, nil, errors.New("all loopback networks for cells are in use")
}

// monitor collects the measurements of a run while it is in progress.
type monitor struct {
	cell    *Cell
	cluster *localcluster.Cluster
	log     *slog.Logger

	mu           sync.Mutex
	measureStart time.Time               // start of the measured time; zero before
	urgent       *hdrhistogram.Histogram // time from the submission of an urgent task to its first launch
	launched     map[string]bool         // urgent tasks that have been launched on a worker
	lateness     *hdrhistogram.Histogram // lateness of this process's timers

	operators  *operators    // nil in runs without configuration changes
	peaks      []peaks       // by controller
	longestGap time.Duration // longest time without a task start
	started    int           // task starts at the last check
	lastStart  time.Time     // last check that found new task starts
}

// Play plays a cell, with its simulated side in this process, until the measured time is over, and returns the
// measurements. Progress is logged.
func (c *Cell) Play(ctx context.Context, log *slog.Logger) (*Point, error) {
	dir := filepath.Join(c.Dir, c.Region)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	network, held, err := reserveNetwork(ctx)
	if err != nil {
		return nil, err
	}
	defer func() { _ = held.Close() }() // it accepted no connections
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cluster, err := localcluster.Start(ctx, c.options(dir, network, log))
	if err != nil {
		return nil, err
	}
	defer cluster.Stop()
	runMonitor := newMonitor(c, cluster, log)
	readyCtx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	if err := cluster.Ready(readyCtx, client.Ready); err != nil {
		return nil, err
	}
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	done := make(chan loadgen.Result, 1)
	users := client.New(cluster.UsersAddress)
	runner := &loadgen.Runner{Deployment: users, Upload: runMonitor.upload}
	users.Retried = runner.Retried
	background.Go(func() { done <- runner.Run(ctx, c.Arrivals(), 0) })
	background.Go(func() { runMonitor.measureLateness(ctx) })
	if (c.Scenario == Changes || c.Scenario == Faults) && c.Profile.ChangesADay > 0 {
		runMonitor.operators = newOperators(c, cluster.Controllers)
		background.Go(func() { runMonitor.operators.run(ctx, c.Profile.ChangesADay/secondsPerDay) })
	}
	if !wait.For(ctx, seconds(c.WarmUpS)) {
		return nil, ctx.Err()
	}
	point, err := runMonitor.measure(ctx)
	if err != nil {
		return nil, err
	}
	cancel()
	result := <-done
	point.AcceptMs = Distribution{result.AcceptTimes.Count, float64(result.AcceptTimes.P50), float64(result.AcceptTimes.P99), float64(result.AcceptTimes.Max)}
	point.Retries = result.Retries
	point.BrokenRules = append(point.BrokenRules, brokenUserRules(&result)...)
	return point, nil
}

// brokenUserRules returns the rules that were broken in the responses to users.
func brokenUserRules(r *loadgen.Result) (broken []string) {
	if r.Regressed > 0 {
		broken = append(broken, fmt.Sprintf("went_back: %d jobs", r.Regressed))
	}
	if r.Rejected > 0 {
		broken = append(broken, fmt.Sprintf("%d jobs were rejected", r.Rejected))
	}
	return broken
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// options returns the options of the local cluster that a cell runs.
func (c *Cell) options(dir string, network int, log *slog.Logger) localcluster.Options {
	o := localcluster.Options{Program: c.Program, Machines: c.Workers, MachinesAtStart: c.Workers, Seed: c.Seed, Speed: 1, Dir: dir, Log: log,
		Deployment: c.Deployment(), Catalog: c.Catalog(), SharedTicker: true, Delay: c.delay,
		Addresses: localcluster.Addresses{
			Worker: func(n int) string { return fmt.Sprintf("127.%d.%d.%d:%d", network, n>>8&0xff, n&0xff, workerPort) },
			Controller: func(i int) (string, string) {
				host := fmt.Sprintf("127.%d.%d.%d", network, controllerSubnet, i+1)
				return fmt.Sprintf("%s:%d", host, publicPort), fmt.Sprintf("%s:%d", host, peerPort)
			}}}
	if c.Scenario == Faults {
		o.Faults = c.faultSchedule()
	}
	return o
}

// delay returns the one-way delay of a message between two zones. If the sender's zone is unknown, this is the longer
// delay, that between zones.
func (c *Cell) delay(from, to string) time.Duration {
	ms := c.Profile.Delays.BetweenZonesMs
	if from == to {
		ms = c.Profile.Delays.WithinZoneMs
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// newMonitor returns a monitor and registers it as the simulation's callback for task launches.
func newMonitor(c *Cell, cluster *localcluster.Cluster, log *slog.Logger) *monitor {
	m := &monitor{cell: c, cluster: cluster, log: log, urgent: newHistogram(), lateness: newHistogram(), launched: map[string]bool{},
		peaks: make([]peaks, len(cluster.Controllers))}
	cluster.Simulation.OnLaunch = m.onLaunch
	return m
}

// upload stores a job's description where the hollow workers read it. The waiting time of the job counts from then on.
func (m *monitor) upload(_ string, description []byte) error {
	var u simulator.Upload
	if err := json.Unmarshal(description, &u); err != nil {
		return err
	}
	u.Spread = runSpread
	return m.cluster.Simulation.AddJob(u)
}

// onLaunch records the time from the submission of an urgent task to its first launch. It is called with the
// simulation's lock held.
func (m *monitor) onLaunch(job *simulator.Job, index int) {
	if job.Spec["jobclass"] != urgentClass {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	task := protocol.TaskName(job.ID, index)
	if m.launched[task] {
		return
	}
	m.launched[task] = true
	if !m.measureStart.IsZero() && job.SubmittedAt.After(m.measureStart) {
		record(m.urgent, time.Since(job.SubmittedAt))
	}
}

// measureLateness records by how much the timers of this process are late, until ctx ends.
func (m *monitor) measureLateness(ctx context.Context) {
	for ctx.Err() == nil {
		due := time.Now().Add(latenessTickInterval)
		if !wait.For(ctx, latenessTickInterval) {
			return
		}
		m.mu.Lock()
		record(m.lateness, time.Since(due))
		m.mu.Unlock()
	}
}

// measure takes the measurements for the cell's measured time, and returns its point.
func (m *monitor) measure(ctx context.Context) (*Point, error) {
	m.mu.Lock()
	m.measureStart = time.Now()
	m.lateness.Reset()
	m.mu.Unlock()
	if o := m.operators; o != nil {
		o.mu.Lock()
		o.measureStart = m.measureStart
		o.mu.Unlock()
	}
	first := takeSample(m.cluster, m.log)
	m.started, m.lastStart = first.stats.Started, first.at
	for n := 1; time.Since(first.at) < seconds(m.cell.MeasureS); n++ {
		if !wait.For(ctx, checkInterval) {
			return nil, ctx.Err()
		}
		m.checkStarts(n)
		if n%checksPerPeakSample == 0 {
			m.updatePeaks()
		}
	}
	last := takeSample(m.cluster, m.log)
	m.updatePeaks()
	return m.point(first, last), nil
}

// checkStarts updates the longest time without a task start, and logs the progress every checksPerProgressLog checks.
// The number of the check is n.
func (m *monitor) checkStarts(n int) {
	now, stats := time.Now(), m.cluster.Simulation.Stats()
	if stats.Started > m.started {
		m.started, m.lastStart = stats.Started, now
	}
	m.longestGap = max(m.longestGap, now.Sub(m.lastStart))
	if n%checksPerProgressLog == 0 {
		m.log.Info("measuring", "region", m.cell.Region, "started", stats.Started, "running", m.cluster.Simulation.RunningTasks(), "broken_rules", len(m.cluster.Simulation.BrokenRules()))
	}
}

// updatePeaks updates the peaks of the controllers' memory, sockets and threads.
func (m *monitor) updatePeaks() {
	for i, pid := range m.cluster.Pids() {
		if u, err := usageOf(pid); err == nil {
			m.peaks[i].update(u)
		}
	}
}

// point computes the point from the samples at the start and the end of the measured time.
func (m *monitor) point(first, last sample) *Point {
	cell, simulation, took := m.cell, m.cluster.Simulation, last.at.Sub(first.at)
	perSecond := func(n float64) float64 { return n / took.Seconds() }
	point := &Point{Run: cell.Run, Commit: cell.Commit, At: time.Now().UTC().Truncate(time.Second), Scenario: cell.Scenario, Fraction: cell.Fraction, Region: cell.Region, Seed: cell.Seed,
		Workers: cell.Workers, WorkersUp: len(simulation.Machines()), OfferedStartsPerS: cell.StartsPerS, MeasureS: took.Seconds(),
		StartsPerS: perSecond(float64(last.stats.Started - first.stats.Started)),
		Running:    simulation.RunningTasks(), LongestGapS: m.longestGap.Seconds(), LeaseKills: last.stats.LeaseKills, UnexpectedExits: m.cluster.UnexpectedExits(), BrokenRules: simulation.BrokenRules(),
		HollowCores: perSecond((last.hollow.cpu - first.hollow.cpu).Seconds()), HollowMB: last.hollow.memMB, HostLoad: hostLoad(),
		WritesPerS: perSecond(float64(last.stats.Writes - first.stats.Writes)), ThrottledPerS: perSecond(float64(last.stats.OverRate - first.stats.OverRate)),
		UserConns: m.cluster.LoadBalancer.Opened.Load()}
	point.StateKeys, point.StateBytes = simulation.Store.Size()
	perWorker := func(n int64) float64 { return perSecond(float64(n)) / float64(max(1, point.WorkersUp)) }
	// A worker sends heartbeats, also as responses to direct commands; it receives responses to heartbeats, and direct
	// commands.
	point.WorkerOutBps = perWorker(last.heartbeats.out - first.heartbeats.out + last.commands.out - first.commands.out)
	point.WorkerInBps = perWorker(last.heartbeats.in - first.heartbeats.in + last.commands.in - first.commands.in)
	point.HeartbeatsPerS = perWorker(last.heartbeats.messages - first.heartbeats.messages)
	point.CommandsPerS = perWorker(last.commands.messages - first.commands.messages)
	m.mu.Lock()
	point.UrgentWaitMs, point.LatenessMs = distributionOf(m.urgent), distributionOf(m.lateness)
	m.mu.Unlock()
	if operators := m.operators; operators != nil {
		operators.mu.Lock()
		point.ChangesMade, point.ChangesFailed = operators.changesMade, operators.changesFailed
		point.ChangeMs, point.LowerMs = distributionOf(operators.guaranteeTimes), distributionOf(operators.loweredLimitTimes)
		operators.mu.Unlock()
	}
	point.Overloaded = point.LatenessMs.P99 > maxLatenessMs
	for i := range last.controllers {
		point.Controllers = append(point.Controllers, controllerUsage(fmt.Sprintf("n%d", i+1), first.controllers[i], last.controllers[i], m.peaks[i], took))
	}
	return point
}
