package controller

import (
	"runtime"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/storage"
)

// Metrics are this controller's figures. Labels are bounded: classes, teams, states
// and outcomes, never jobs or machines.
type Metrics struct {
	Registry            *prometheus.Registry
	waitSeconds         *prometheus.HistogramVec
	outcomes            *prometheus.CounterVec
	launches            prometheus.Counter
	preemptedTasks      prometheus.Counter
	lostSeconds         prometheus.Counter
	takeovers           prometheus.Counter
	readyJobs           prometheus.Counter
	stalls              prometheus.Counter
	neverUpMachines     prometheus.Counter
	unverifiedRenewals  prometheus.Counter
	uncertainHeartbeats prometheus.Counter
	heartbeatSeconds    prometheus.Histogram
	planSeconds         prometheus.Histogram
	counters            logCounters // what the log tells now and then
	Requests            *prometheus.CounterVec
}

const maxClasses = 64 // classes come from users; more than this shard one label

// NewMetrics registers the figures that are counted as they happen.
func NewMetrics() *Metrics {
	metrics := &Metrics{
		Registry: prometheus.NewRegistry(),
		waitSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "dykeledge_job_wait_seconds",
			Help:    "Time from a job's submission until its first task was placed.",
			Buckets: []float64{0.5, 1, 2, 5, 10, 20, 40, 80, 160, 320, 640}}, []string{"class", "team"}),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dykeledge_attempts_ended_total",
			Help: "Attempts that ended, by outcome."}, []string{"outcome"}),
		launches: prometheus.NewCounter(prometheus.CounterOpts{Name: "dykeledge_launches_total", Help: "Tasks placed."}),
		preemptedTasks: prometheus.NewCounter(prometheus.CounterOpts{Name: "dykeledge_evicted_tasks_total",
			Help: "Tasks named in evicted sets."}),
		lostSeconds: prometheus.NewCounter(prometheus.CounterOpts{Name: "dykeledge_lost_seconds_total",
			Help: "Task-seconds run without being completed or saved."}),
		takeovers: prometheus.NewCounter(prometheus.CounterOpts{Name: "dykeledge_share_takeovers_total",
			Help: "Shares that this node took over."}),
		readyJobs: prometheus.NewCounter(prometheus.CounterOpts{Name: "dykeledge_readied_jobs_total",
			Help: "Jobs that became ready since all that they awaited was done."}),
		stalls: prometheus.NewCounter(prometheus.CounterOpts{Name: "dykeledge_standstills_total",
			Help: "Times that this node stood still for a second or more while its clocks ran on."}),
		neverUpMachines: prometheus.NewCounter(prometheus.CounterOpts{Name: "dykeledge_machines_never_up_total",
			Help: "Rented machines given up because they did not come up."}),
		unverifiedRenewals: prometheus.NewCounter(prometheus.CounterOpts{Name: "dykeledge_blind_renewals_total",
			Help: "Workers' leases renewed by this node before it could read the records."}),
		uncertainHeartbeats: prometheus.NewCounter(prometheus.CounterOpts{Name: "dykeledge_unsure_reports_total",
			Help: "Workers' reports refused because this node did not know what had been cancelled lately."}),
		heartbeatSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "dykeledge_report_answer_seconds",
			Help: "Time until a worker's report was answered.", Buckets: []float64{.001, .005, .01, .05, .1, .2, .5, 1, 2, 4}}),
		planSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "dykeledge_plan_seconds",
			Help: "Length of a planning pass.", Buckets: []float64{.0003, .001, .003, .01, .03, .1, .3, 1}}),
		Requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dykeledge_service_requests_total",
			Help: "Requests to the state service and the cloud, by outcome."}, []string{"service", "outcome"}),
	}
	metrics.Registry.MustRegister(metrics.waitSeconds, metrics.outcomes, metrics.launches, metrics.preemptedTasks, metrics.lostSeconds, metrics.takeovers, metrics.readyJobs, metrics.stalls, metrics.neverUpMachines, metrics.unverifiedRenewals, metrics.uncertainHeartbeats, metrics.heartbeatSeconds, metrics.planSeconds, metrics.Requests)
	return metrics
}

// Observe counts a request to another service.
func (m *Metrics) Observe(service, outcome string) {
	m.Requests.WithLabelValues(service, outcome).Inc()
}

func (c *Controller) classLabel(class int) string {
	if class >= maxClasses {
		return "other"
	}
	return c.cache.Classes.Name(class)
}

var outcomeNames = map[dispatch.Outcome]string{dispatch.Completed: "done", dispatch.Stopped: "stopped",
	dispatch.Failed: "failed", dispatch.Refused: "refused", dispatch.Lost: "lost", dispatch.Unsent: "unsent"}

// countOutcome counts an attempt's end and what it lost.
func (c *Controller) countOutcome(worker *workerState, ref dispatch.Ref, out dispatch.Outcome, now time.Time) {
	c.metrics.outcomes.WithLabelValues(outcomeNames[out]).Inc()
	at, ran := worker.started[ref]
	if !ran || out == dispatch.Completed {
		return
	}
	lost := now.Sub(at).Seconds()
	if ref.Job.CheckpointInterval > 0 {
		for lost >= ref.Job.CheckpointInterval {
			lost -= ref.Job.CheckpointInterval
		}
	}
	if out == dispatch.Stopped && worker.Seen[ref].Checkpointed {
		lost = 0
	}
	c.metrics.lostSeconds.Add(lost)
}

// logCounters are what the log tells now and then of how this controller fares.
type logCounters struct {
	passes  int
	all     time.Duration // of all passes
	longest time.Duration
	at      time.Time
	changes uint64
}

// pass counts a planning pass.
func (t *logCounters) pass(d time.Duration) {
	t.passes++
	t.all += d
	t.longest = max(t.longest, d)
}

// logCountersInterval is how often the log tells how this controller fares.
const logCountersInterval = 30 * time.Second

// logCounters logs what operators compare between sizes; metrics have more of it.
func (c *Controller) logCounters(now time.Time) {
	counters := &c.metrics.counters
	if now.Sub(counters.at) < logCountersInterval {
		return
	}
	spent := c.store.ChangesUsed()
	if !counters.at.IsZero() {
		machines, jobs := 0, 0
		for _, m := range c.cache.Machines {
			if !m.Gone && c.ownsShard(m.Shard) {
				machines++
			}
		}
		for _, j := range c.cache.Jobs {
			if j != nil && j.Open() && c.ownsShard(j.Shard) {
				jobs++
			}
		}
		c.log.Info("figures", "machines", machines, "open_jobs", jobs, "passes", counters.passes, "pass_mean_ms", millis(counters.all)/float64(max(1, counters.passes)),
			"pass_longest_ms", millis(counters.longest), "changes_per_s", float64(int(float64(spent-counters.changes)/now.Sub(counters.at).Seconds()*10))/10, "revision", c.cache.Revision)
	}
	*counters = logCounters{at: now, changes: spent}
}

// gauges are read from the core when somebody asks for them.
type gauges struct{ c *Controller }

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("dykeledge_"+name, help, labels, nil)
}

var (
	descQueue                = desc("queue_tasks", "Tasks waiting for a machine.", "class", "team")
	descMachines             = desc("machines", "Machines by state.", "state")
	descGpus                 = desc("accelerators", "Accelerators of the machines, by use: taken by placed tasks, or free.", "use")
	descRate                 = desc("money_rate_per_hour", "What the machines cost an hour, at the catalog's prices.")
	descMemory               = desc("memory_bytes", "Memory obtained from the system.")
	descLeader               = desc("leader", "1 on the leading node.")
	descRevision             = desc("revision", "Revision of the state service that this node has seen.")
	descShards               = desc("shares_owned", "Shares that this node owns.")
	descReach                = desc("reaches", "1 if this node reaches a neighbour: the state service, workers, the other nodes (part of them).", "neighbour")
	descAwaitingDependencies = desc("awaiting_jobs", "Open jobs that wait for other jobs.")
	descDependencyFailed     = desc("cascade_jobs", "Jobs cancelled with one that they need whose own final record is still to be written.")
	descLayout               = desc("layout_version", "Layout of the records that is written: 1 plain, 2 packed, 3 packed with changed teams.")
	descLargest              = desc("largest_record_bytes", "Size of the largest rack's record.")
	descOverload             = desc("flood", "1 while a class of a team has far more open than is usual for it, and more waits on this node than can be in time.")
	descBaseline             = desc("usual_cpus", "CPUs that a class of a team usually keeps busy.", "class", "team")
	descSuspect              = desc("suspect_jobs", "Open jobs that failed on every machine that tried them.")
)

func (g gauges) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descQueue, descMachines, descGpus, descRate, descMemory, descLeader, descRevision, descShards, descReach, descSuspect,
		descAwaitingDependencies, descDependencyFailed, descLayout, descLargest, descOverload, descBaseline} {
		ch <- d
	}
}

func (g gauges) Collect(metrics chan<- prometheus.Metric) {
	controller := g.c
	type key struct{ class, team string }
	queue := map[key]float64{}
	machines, gpus := map[string]float64{}, map[string]float64{"taken": 0, "free": 0}
	reach := map[string]float64{"state": 0, "workers": 0, "nodes": 1}
	usually := map[key]float64{}
	var rate, leader, revision, shares, suspect, awaiting, doomed, largest, flood float64
	layout := 1.0
	if err := controller.callWithin(time.Second, func() {
		for _, j := range controller.cache.Jobs {
			if j != nil && j.Open() {
				queue[key{controller.classLabel(j.Class), controller.cache.Teams[j.Team].Name}] += float64(j.Waiting())
				if controller.suspect(j) {
					suspect++
				}
				if j.DependencyFailed {
					doomed++
				} else if !j.Ready() {
					awaiting++
				}
			}
		}
		for _, m := range controller.cache.Machines {
			if m.Gone {
				continue
			}
			machines[controller.machineState(m)]++
			gpus["free"] += controller.cache.Types[m.Type].Gpus
			for _, p := range m.Tasks {
				gpus["free"] -= p.Job.Gpus
				gpus["taken"] += p.Job.Gpus
			}
			rate += controller.cpuPrice(m) * max(controller.cache.Types[m.Type].Cpus, 1)
		}
		if controller.isLeader() {
			leader = 1
		}
		for x, u := range controller.cache.Baseline.Cpus {
			usually[key{controller.classLabel(x.Class), controller.cache.Teams[x.Team].Name}] += u
		}
		now := time.Now()
		if controller.planner.overloaded {
			flood = 1
		}
		if controller.storeHealth.served(now) {
			reach["state"] = 1
		}
		if !controller.session.notReady.Load() {
			reach["workers"] = 1
		}
		heard, others := 0, 0
		for name := range controller.cache.Members {
			if name == controller.cfg.MemberName {
				continue
			}
			others++
			if p, ok := controller.reachability.peers[name]; ok && now.Sub(p.heardAt) < peerFresh {
				heard++
			}
		}
		if others > 0 {
			reach["nodes"] = float64(heard) / float64(others)
		}
		revision = float64(controller.cache.Revision)
		if controller.cache.Packed() {
			layout = float64(controller.cache.Layout.Version)
		}
		for _, k := range controller.cache.Groups {
			largest = max(largest, float64(k.Size))
		}
		for s := range controller.shards.owned {
			if controller.shards.owned[s] > 0 {
				shares++
			}
		}
	}); err != nil {
		return
	}
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	for k, n := range queue {
		gauge(descQueue, n, k.class, k.team)
	}
	for s, n := range machines {
		gauge(descMachines, n, s)
	}
	for k, u := range usually {
		gauge(descBaseline, u, k.class, k.team)
	}
	gauge(descOverload, flood)
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	for use, n := range gpus {
		gauge(descGpus, n, use)
	}
	gauge(descRate, rate)
	gauge(descMemory, float64(ms.Sys))
	gauge(descLeader, leader)
	gauge(descRevision, revision)
	gauge(descShards, shares)
	for n, v := range reach {
		gauge(descReach, v, n)
	}
	gauge(descSuspect, suspect)
	gauge(descAwaitingDependencies, awaiting)
	gauge(descDependencyFailed, doomed)
	gauge(descLayout, layout)
	gauge(descLargest, largest)
}

// machineState is one word for how a machine stands.
func (c *Controller) machineState(machine *storage.Machine) string {
	worker := c.workers.states[machine.Index]
	switch {
	case machine.Returning:
		return "returning"
	case machine.Draining:
		return "draining"
	case machine.Unhealthy || worker != nil && worker.unhealthy:
		return "sick"
	case worker != nil && !worker.preemptedAt.IsZero():
		return "leaving"
	case !c.cameUp(machine) && c.overdue(machine, bootPatience, time.Now()):
		return "overdue"
	case !c.cameUp(machine):
		return "booting"
	case len(machine.Tasks) == 0:
		return "idle"
	}
	return "busy"
}
