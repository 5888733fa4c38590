package controller

import (
	"context"
	"runtime"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dykeledge/internal/storage"
)

// collectTimeout bounds the time that a metrics scrape waits for the goroutine that owns the state.
const collectTimeout = time.Second

// gauges is a Prometheus collector that reads the gauges' values from the controller at each scrape.
type gauges struct{ c *Controller }

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("dykeledge_"+name, help, labels, nil)
}

var (
	descQueue                = newDesc("queue_tasks", "Tasks waiting for a machine.", "class", "team")
	descMachines             = newDesc("machines", "Machines by state.", "state")
	descGpus                 = newDesc("accelerators", "Accelerators of the machines, by use: taken by placed tasks, or free.", "use")
	descMoneyRate            = newDesc("money_rate_per_hour", "What the machines cost an hour, at the catalog's prices.")
	descMemory               = newDesc("memory_bytes", "Memory obtained from the system.")
	descLeader               = newDesc("leader", "1 on the leading node.")
	descRevision             = newDesc("revision", "Revision of the state service that this node has seen.")
	descShards               = newDesc("shares_owned", "Shares that this node owns.")
	descReachable            = newDesc("reaches", "1 if this node reaches a neighbour: the state service, workers, the other nodes (part of them).", "neighbour")
	descAwaitingDependencies = newDesc("awaiting_jobs", "Open jobs that wait for other jobs.")
	descDependencyFailed     = newDesc("cascade_jobs", "Jobs cancelled with one that they need whose own final record is still to be written.")
	descLayout               = newDesc("layout_version", "Layout of the records that is written: 1 plain, 2 packed, 3 packed with changed teams.")
	descLargestRecord        = newDesc("largest_record_bytes", "Size of the largest rack's record.")
	descOverload             = newDesc("flood", "1 while a class of a team has far more open than is usual for it, and more waits on this node than can be in time.")
	descBaseline             = newDesc("usual_cpus", "CPUs that a class of a team usually keeps busy.", "class", "team")
	descRejectedRecords      = newDesc("rejected_records", "Records whose latest change this node cannot read.")
	descConflictSeconds      = newDesc("commit_conflict_seconds", "How long every transaction for this node's shares has failed since a record had changed.")
	descSuspectJobs          = newDesc("suspect_jobs", "Open jobs that failed on every machine that tried them.")
)

// Describe sends the descriptions of the gauges.
func (g gauges) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descQueue, descMachines, descGpus, descMoneyRate, descMemory, descLeader, descRevision, descShards, descReachable, descSuspectJobs,
		descAwaitingDependencies, descDependencyFailed, descLayout, descLargestRecord, descOverload, descBaseline, descRejectedRecords, descConflictSeconds} {
		ch <- d
	}
}

// Collect sends the values of the gauges, or none if they could not be read within collectTimeout.
func (g gauges) Collect(metrics chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), collectTimeout)
	defer cancel()
	// The closure allocates its own values, since it may still run after the time-out.
	var collected *gaugeValues
	if err := g.c.call(ctx, func() { collected = g.c.collectGaugeValues(time.Now()) }); err != nil {
		return
	}
	collected.emit(metrics)
}

// queueLabels are the labels of gauges that are counted by class and team.
type queueLabels struct{ class, team string }

// gaugeValues holds the values of the gauges at one point in time.
type gaugeValues struct {
	waitingTasks map[queueLabels]float64
	baselineCpus map[queueLabels]float64
	machines     map[string]float64 // by state
	gpus         acceleratorUse
	reach        reachableFractions
	moneyRate    float64 // per hour

	leader, overloaded bool

	revision           uint64
	layout             int
	ownedShards        int
	largestRecordBytes int
	rejectedRecords    int
	conflictSeconds    float64

	suspectJobs, awaitingJobs, dependencyFailedJobs int
}

// acceleratorUse is the number of accelerators of all machines, by use.
type acceleratorUse struct{ taken, free float64 }

// reachableFractions holds the fraction of the neighbours of each kind that a controller reaches, from 0 to
// 1.
type reachableFractions struct{ state, workers, members float64 }

// collectGaugeValues reads the values of the gauges from the controller's state.
func (c *Controller) collectGaugeValues(now time.Time) *gaugeValues {
	collected := &gaugeValues{
		waitingTasks: map[queueLabels]float64{},
		baselineCpus: map[queueLabels]float64{},
		machines:     map[string]float64{},
		reach:        c.reachableFractions(now),
		leader:       c.isLeader(),
		overloaded:   c.planner.overloaded,
		revision:     c.cache.Revision,
		layout:       storage.LayoutPlain,

		rejectedRecords: c.cache.RejectedRecords(),
		conflictSeconds: c.commits.conflicts.age(now).Seconds(),
	}
	collected.countJobs(c)
	collected.countMachines(c)
	for queue, cpus := range c.cache.Baseline.Cpus {
		collected.baselineCpus[c.queueLabels(queue.Class, queue.Team)] += cpus
	}
	if c.cache.Packed() {
		collected.layout = c.cache.Layout.Version
	}
	for _, group := range c.cache.Groups {
		collected.largestRecordBytes = max(collected.largestRecordBytes, group.Size)
	}
	for _, version := range c.shards.owned {
		if version > 0 {
			collected.ownedShards++
		}
	}
	return collected
}

func (c *Controller) queueLabels(class, team int) queueLabels {
	return queueLabels{c.classLabel(class), c.cache.Teams[team].Name}
}

// countJobs adds the values that are counted over open jobs.
func (f *gaugeValues) countJobs(controller *Controller) {
	for _, job := range controller.cache.Jobs {
		if job == nil || !job.Open() {
			continue
		}
		f.waitingTasks[controller.queueLabels(job.Class, job.Team)] += float64(job.Waiting())
		if controller.suspect(job) {
			f.suspectJobs++
		}
		if job.DependencyFailed {
			f.dependencyFailedJobs++
		} else if !job.Ready() {
			f.awaitingJobs++
		}
	}
}

// countMachines adds the values that are counted over machines.
func (f *gaugeValues) countMachines(controller *Controller) {
	for _, machine := range controller.cache.Machines {
		if machine.Gone {
			continue
		}
		machineType := controller.cache.Types[machine.Type]
		f.machines[controller.machineState(machine)]++
		f.gpus.free += machineType.Gpus
		for _, placed := range machine.Tasks {
			f.gpus.free -= placed.Job.Gpus
			f.gpus.taken += placed.Job.Gpus
		}
		f.moneyRate += controller.cpuPrice(machine) * max(machineType.Cpus, 1)
	}
}

// reachableFractions returns the fractions of its neighbours that this controller reaches.
func (c *Controller) reachableFractions(now time.Time) reachableFractions {
	reach := reachableFractions{members: 1}
	if c.storeHealth.served(now) {
		reach.state = 1
	}
	if !c.session.notReady.Load() {
		reach.workers = 1
	}
	reachablePeers, peerCount := 0, 0
	for name := range c.cache.Members {
		if name == c.cfg.MemberName {
			continue
		}
		peerCount++
		if peer, ok := c.reachability.peers[name]; ok && peer.fresh(now) {
			reachablePeers++
		}
	}
	if peerCount > 0 {
		reach.members = float64(reachablePeers) / float64(peerCount)
	}
	return reach
}

// emit sends the values as metrics.
func (f *gaugeValues) emit(metrics chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	for labels, tasks := range f.waitingTasks {
		gauge(descQueue, tasks, labels.class, labels.team)
	}
	for state, count := range f.machines {
		gauge(descMachines, count, state)
	}
	for labels, cpus := range f.baselineCpus {
		gauge(descBaseline, cpus, labels.class, labels.team)
	}
	gauge(descOverload, indicator(f.overloaded))
	gauge(descGpus, f.gpus.taken, "taken")
	gauge(descGpus, f.gpus.free, "free")
	gauge(descMoneyRate, f.moneyRate)
	gauge(descMemory, float64(systemMemory()))
	gauge(descLeader, indicator(f.leader))
	gauge(descRevision, float64(f.revision))
	gauge(descShards, float64(f.ownedShards))
	gauge(descReachable, f.reach.state, "state")
	gauge(descReachable, f.reach.workers, "workers")
	gauge(descReachable, f.reach.members, "nodes")
	gauge(descSuspectJobs, float64(f.suspectJobs))
	gauge(descAwaitingDependencies, float64(f.awaitingJobs))
	gauge(descDependencyFailed, float64(f.dependencyFailedJobs))
	gauge(descLayout, float64(f.layout))
	gauge(descLargestRecord, float64(f.largestRecordBytes))
	gauge(descRejectedRecords, float64(f.rejectedRecords))
	gauge(descConflictSeconds, f.conflictSeconds)
}

// indicator returns 1 for true and 0 for false, the value of a gauge that shows a condition.
func indicator(v bool) float64 {
	if v {
		return 1
	}
	return 0
}

// systemMemory returns the number of bytes of memory that this process has obtained from the system.
func systemMemory() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.Sys
}
