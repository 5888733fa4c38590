package controller

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dykeledge/internal/controller/dispatch"
)

// Metrics holds this controller's metrics. The sets of label values are bounded: classes, teams, states and
// outcomes, never jobs or machines.
type Metrics struct {
	Registry           *prometheus.Registry
	waitSeconds        *prometheus.HistogramVec
	attemptOutcomes    *prometheus.CounterVec
	launches           prometheus.Counter
	preemptedTasks     prometheus.Counter
	lostSeconds        prometheus.Counter
	takeovers          prometheus.Counter
	readyJobs          prometheus.Counter
	stalls             prometheus.Counter
	bootFailedMachines prometheus.Counter
	unverifiedRenewals prometheus.Counter
	renewalMarkers     prometheus.Counter
	refusedHeartbeats  prometheus.Counter
	refusedCommands    *prometheus.CounterVec
	unplacedAttempts   prometheus.Counter
	heartbeatSeconds   prometheus.Histogram
	planSeconds        prometheus.Histogram
	counters           logCounters // logged every logCountersInterval
	Requests           *prometheus.CounterVec
}

// maxClasses is the number of classes that have a label value of their own. Classes are named by users, so
// all further ones share one value.
const maxClasses = 64

// NewMetrics registers the metrics that are updated as events happen. Gauges are collected at each scrape.
func NewMetrics() *Metrics {
	metrics := &Metrics{
		Registry: prometheus.NewRegistry(),
		waitSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "dykeledge_job_wait_seconds",
			Help:    "Time from a job's submission until its first task was placed.",
			Buckets: []float64{0.5, 1, 2, 5, 10, 20, 40, 80, 160, 320, 640}}, []string{"class", "team"}),
		attemptOutcomes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dykeledge_attempts_ended_total",
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
		bootFailedMachines: prometheus.NewCounter(prometheus.CounterOpts{Name: "dykeledge_machines_never_up_total",
			Help: "Rented machines given up because they did not come up."}),
		unverifiedRenewals: prometheus.NewCounter(prometheus.CounterOpts{Name: "dykeledge_blind_renewals_total",
			Help: "Workers' leases renewed by this node before it could read the records."}),
		renewalMarkers: prometheus.NewCounter(prometheus.CounterOpts{Name: "dykeledge_renewal_markers_total",
			Help: "Workers' leases renewed with a note of how old this node's knowledge of cancellations was."}),
		refusedHeartbeats: prometheus.NewCounter(prometheus.CounterOpts{Name: "dykeledge_unsure_reports_total",
			Help: "Workers' reports refused because this node did not know what had been cancelled lately."}),
		refusedCommands: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dykeledge_refused_commands_total",
			Help: "Direct commands that a worker refused, by cause: it has seen a higher token, or has another incarnation."}, []string{"cause"}),
		unplacedAttempts: prometheus.NewCounter(prometheus.CounterOpts{Name: "dykeledge_unplaced_attempts_total",
			Help: "Attempts that a worker ran although the records did not place them on its machine."}),
		heartbeatSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "dykeledge_report_answer_seconds",
			Help: "Time until a worker's report was answered.", Buckets: []float64{.001, .005, .01, .05, .1, .2, .5, 1, 2, 4}}),
		planSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "dykeledge_plan_seconds",
			Help: "Length of a planning pass.", Buckets: []float64{.0003, .001, .003, .01, .03, .1, .3, 1}}),
		Requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dykeledge_service_requests_total",
			Help: "Requests to the state service and the cloud, by outcome."}, []string{"service", "outcome"}),
	}
	for _, cause := range []string{refusedByToken, refusedByIncarnation} {
		metrics.refusedCommands.WithLabelValues(cause) // shown before the first refusal
	}
	metrics.Registry.MustRegister(metrics.waitSeconds, metrics.attemptOutcomes, metrics.launches, metrics.preemptedTasks,
		metrics.lostSeconds, metrics.takeovers, metrics.readyJobs, metrics.stalls, metrics.bootFailedMachines,
		metrics.unverifiedRenewals, metrics.renewalMarkers, metrics.refusedHeartbeats, metrics.refusedCommands,
		metrics.unplacedAttempts, metrics.heartbeatSeconds, metrics.planSeconds, metrics.Requests)
	return metrics
}

// Observe counts a request to another service by its outcome.
func (m *Metrics) Observe(service, outcome string) {
	m.Requests.WithLabelValues(service, outcome).Inc()
}

// classLabel returns the label value of a job class.
func (c *Controller) classLabel(class int) string {
	if class >= maxClasses {
		return "other"
	}
	return c.cache.Classes.Name(class)
}

// outcomeNames maps attempt outcomes to their label values.
var outcomeNames = map[dispatch.Outcome]string{dispatch.Completed: "done", dispatch.Stopped: "stopped",
	dispatch.Failed: "failed", dispatch.Refused: "refused", dispatch.Lost: "lost", dispatch.Undelivered: "unsent"}

// countOutcome counts the end of an attempt and the run time, in task-seconds, that was lost with it.
func (c *Controller) countOutcome(worker *workerState, ref dispatch.AttemptRef, outcome dispatch.Outcome, now time.Time) {
	c.metrics.attemptOutcomes.WithLabelValues(outcomeNames[outcome]).Inc()
	startedAt, ran := worker.started[ref]
	if !ran || outcome == dispatch.Completed {
		return
	}
	lostS := now.Sub(startedAt).Seconds()
	if ref.Job.CheckpointInterval > 0 {
		for lostS >= ref.Job.CheckpointInterval {
			lostS -= ref.Job.CheckpointInterval
		}
	}
	if outcome == dispatch.Stopped && worker.Reported[ref].Checkpointed {
		lostS = 0
	}
	c.metrics.lostSeconds.Add(lostS)
}
