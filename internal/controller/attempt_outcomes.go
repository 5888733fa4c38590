package controller

import (
	"time"

	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

const (
	// refusedStartBackoff is how long a job waits after a worker has refused to start one of its tasks.
	refusedStartBackoff = 300 * time.Millisecond
	// slowdownSmoothing is the weight of the latest attempt in a worker's measured slowdown.
	slowdownSmoothing = 0.2
	// maxSlowdown caps the slowdown measured by one attempt.
	maxSlowdown = 5
	// minMeasuredEstimateS is the estimated run time, in seconds, above which an attempt is used to
	// measure its worker's slowdown.
	minMeasuredEstimateS = 1
)

// noteRunningAttempts records which attempts a worker reports as running, and since when.
func (c *Controller) noteRunningAttempts(machine *storage.Machine, worker *workerState, now time.Time) {
	for ref, seen := range worker.Reported {
		if seen.State != protocol.TaskRunning && seen.State != protocol.TaskCheckpointing {
			continue
		}
		if _, ok := worker.started[ref]; !ok {
			worker.started[ref] = now
			c.logReplicaStart(machine, ref, now)
		}
		worker.images = storage.TouchImage(worker.images, ref.Job.Image)
		c.noteSteadyReplica(worker, ref.Job, now.Sub(worker.started[ref]))
	}
}

// logReplicaStart logs how long a service's replica took to start: the time until it was placed, and
// then until its image was fetched. Replicas placed before this controller last took over a shard
// are left out.
func (c *Controller) logReplicaStart(machine *storage.Machine, ref dispatch.AttemptRef, now time.Time) {
	if ref.Job.Shape != protocol.Service {
		return
	}
	for _, placed := range machine.Tasks {
		fetchS := now.Unix() - placed.PlacedAt
		if dispatch.AttemptRefOf(placed) != ref || now.Sub(c.shards.takenOverAt) <= seconds(float64(fetchS)) {
			continue
		}
		c.log.Info("service replica started", "job", ref.Job.ID, "task", ref.Task, "machine", machine.Name,
			"waited_s", placed.WaitedSeconds, "fetch_s", fetchS, "image_gb", ref.Job.ImageGB,
			"age_s", now.Sub(ref.Job.ReadyAt).Round(100*time.Millisecond).Seconds())
	}
}

// noteOutcome updates the state of an attempt's machine and job with its outcome.
func (c *Controller) noteOutcome(machine *storage.Machine, worker *workerState, ref dispatch.AttemptRef, outcome dispatch.Outcome, now time.Time) {
	jobState := c.jobState(ref.Job)
	c.countOutcome(worker, ref, outcome, now)
	if outcome != dispatch.Completed {
		jobState.requeuedAt[ref.Task] = now
	}
	if outcome == dispatch.Stopped {
		jobState.terminatedTasks++
	}
	switch outcome {
	case dispatch.Completed:
		c.noteSuccess(worker, ref.Job)
		worker.measureSlowdown(ref, now)
	case dispatch.Failed:
		c.log.Debug("task failed", "machine", machine.Name, "job", ref.Job.ID, "task", ref.Task)
		c.noteFailure(machine, worker, ref.Job, now)
	case dispatch.Refused:
		c.log.Info("start refused", "machine", machine.Name, "job", ref.Job.ID, "task", ref.Task, "cause", worker.Reported[ref].Cause)
		jobState.retryAt = maxTime(jobState.retryAt, now.Add(refusedStartBackoff))
	case dispatch.Lost:
		c.log.Info("task lost", "machine", machine.Name, "job", ref.Job.ID, "task", ref.Task)
	}
}

// measureSlowdown updates a worker's smoothed slowdown with a completed attempt's run time relative
// to its job's estimate.
func (w *workerState) measureSlowdown(ref dispatch.AttemptRef, now time.Time) {
	startedAt, ok := w.started[ref]
	if !ok || ref.Job.Estimate <= minMeasuredEstimateS {
		return
	}
	ratio := now.Sub(startedAt).Seconds() / ref.Job.Estimate
	w.slowdown += slowdownSmoothing * (min(ratio, maxSlowdown) - w.slowdown)
}
