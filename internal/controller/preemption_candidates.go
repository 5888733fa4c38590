package controller

import (
	"slices"
	"time"

	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// mayPreempt reports whether a job may preempt at all. A top-priority job may, and so may a job
// that fits into its team's guarantee together with the team's earlier unfinished jobs. Any job
// above the lowest priority may preempt idle-time work.
func (c *Controller) mayPreempt(job *storage.Job, input *schedule.Input, cutoffs []time.Time) bool {
	return job.Priority.IsTop() || (job.Priority > protocol.Low && c.planner.idleWorkPlaced) || mayPreemptForGuarantee(job, input, cutoffs)
}

// mayPreemptForGuarantee reports whether a job may preempt for its team's guarantee: it fits into
// the guarantee together with the team's earlier unfinished jobs. Work beyond the guarantee has to
// wait like other work, since preempting for it would only shift the loss to another team.
func mayPreemptForGuarantee(job *storage.Job, input *schedule.Input, cutoffs []time.Time) bool {
	return schedule.WithinGuarantee(input.Teams[job.Team], input.Used[job.Team], job) && !job.ReadyAt.After(cutoffs[job.Team])
}

// guaranteeCutoffs returns, by team, the ready time up to which the team's unfinished jobs, in the
// order in which they became ready, fit into its guarantee together. It is computed once a pass,
// because hundreds of jobs may lack capacity and summing up all earlier jobs for each of them is
// expensive.
func (c *Controller) guaranteeCutoffs() []time.Time {
	open := make([][]*storage.Job, len(c.cache.Teams))
	for _, job := range c.cache.Jobs {
		if job == nil || !job.Open() || !job.Ready() {
			continue
		}
		if team := &c.cache.Teams[job.Team]; team.Cpus > 0 || team.Gpus > 0 {
			open[job.Team] = append(open[job.Team], job)
		}
	}
	cutoffs := make([]time.Time, len(c.cache.Teams))
	for team, jobs := range open {
		slices.SortFunc(jobs, func(a, b *storage.Job) int { return a.ReadyAt.Compare(b.ReadyAt) })
		cutoffs[team] = fitsGuaranteeUntil(c.cache.Teams[team].Cpus, c.cache.Teams[team].Gpus, jobs)
	}
	return cutoffs
}

// fitsGuaranteeUntil returns the ready time of the last job that fits into a guarantee together
// with all jobs before it. The jobs must be sorted by ready time; those with the same ready time
// are counted together.
func fitsGuaranteeUntil(cpus, gpus float64, jobs []*storage.Job) (cutoff time.Time) {
	var needed storage.Usage
	for i, job := range jobs {
		needed.Add(job, float64(job.Tasks-job.DoneCount))
		if needed.Cpus > cpus || needed.Gpus > gpus {
			break
		}
		if i+1 == len(jobs) || jobs[i+1].ReadyAt.After(job.ReadyAt) {
			cutoff = job.ReadyAt
		}
	}
	return cutoff
}

// candidateList collects the candidates for preemption or eviction. Each task of a job array is a
// candidate of its own; all replicas of a service form one candidate.
type candidateList struct {
	candidates []schedule.Candidate
	services   map[*storage.Job]int // index in candidates, by service
}

// add adds a task that is placed on a slot's machine and would lose the given number of seconds of
// its run if it were stopped. fetching reports whether it waits for its image.
func (l *candidateList) add(slot *schedule.Slot, placed storage.PlacedTask, lost float64, fetching bool) {
	job := placed.Job
	victim := schedule.Victim{Slot: slot, Job: job, Task: placed.Task, Attempt: placed.Attempt}
	if i, ok := l.services[job]; ok {
		service := &l.candidates[i]
		service.Victims = append(service.Victims, victim)
		service.LostTaskSeconds += lost
		service.WaitSeconds = max(service.WaitSeconds, float64(placed.WaitedSeconds))
		return
	}
	if job.Shape == protocol.Service {
		if l.services == nil {
			l.services = map[*storage.Job]int{}
		}
		l.services[job] = len(l.candidates)
	}
	l.candidates = append(l.candidates, schedule.Candidate{
		Victims:         []schedule.Victim{victim},
		LostTaskSeconds: lost,
		WaitSeconds:     float64(placed.WaitedSeconds),
		ReadySince:      job.ReadyAt,
		TopPriority:     job.Priority.IsTop(),
		Fetching:        fetching && job.Shape == protocol.Batch,
	})
}

// preemptionCandidates returns the tasks that may be preempted for a job. For a top-priority job
// these are all tasks below top priority, for a job within its team's guarantee the tasks that
// other teams run beyond theirs, and for any job idle-time work of a lower priority. remaining
// holds the tasks of the machines that change in the transaction.
func (c *Controller) preemptionCandidates(now time.Time, job *storage.Job, input *schedule.Input, remaining map[int32][]storage.PlacedTask, cutoffs []time.Time) []schedule.Candidate {
	var list candidateList
	forGuarantee := !job.Priority.IsTop() && mayPreemptForGuarantee(job, input, cutoffs)
	excess := make([]storage.Usage, len(input.Used)) // usage beyond the guarantee, by team
	for team, used := range input.Used {
		excess[team] = storage.Usage{Cpus: used.Cpus - input.Teams[team].Cpus, Gpus: used.Gpus - input.Teams[team].Gpus}
	}
	for _, slot := range input.Slots {
		if !schedule.Allowed(job, slot.Machine) {
			continue
		}
		worker := c.workerState(slot.Machine)
		tasks, changed := remaining[slot.Machine.Index]
		if !changed {
			tasks = slot.Machine.Tasks
		}
		for _, placed := range tasks {
			other := placed.Job
			teamOverGuarantee := other.Team != job.Team && (excess[other.Team].Cpus >= other.Cpus || other.Gpus > 0 && excess[other.Team].Gpus >= other.Gpus)
			bestEffort := job.Priority.IsTop() && !other.Priority.IsTop()
			preemptibleForGuarantee := forGuarantee && teamOverGuarantee
			if !bestEffort && !preemptibleForGuarantee && (job.Priority <= other.Priority || !c.isIdleWork(other, now)) {
				continue
			}
			if !other.Open() || placed.Attempt >= c.nextRevision() || c.cache.IsVictim(placed) {
				continue // the task ends anyway, or is only placed by this transaction
			}
			if preemptibleForGuarantee {
				excess[other.Team].Add(other, -1)
			}
			list.add(slot, placed, lostRunSeconds(worker, placed, now), worker.isFetching(placed))
		}
	}
	return list.candidates
}

// isFetching reports whether a worker last reported that a task waits for its image.
func (w *workerState) isFetching(placed storage.PlacedTask) bool {
	return w.Reported[dispatch.AttemptRefOf(placed)].State == protocol.TaskFetching
}

// lostRunSeconds returns how many seconds of a task's run would be lost if it were stopped now: the
// time since its start or its last checkpoint.
func lostRunSeconds(worker *workerState, placed storage.PlacedTask, now time.Time) float64 {
	ref, ran := dispatch.AttemptRefOf(placed), 0.0
	if started, ok := worker.started[ref]; ok {
		ran = now.Sub(started).Seconds()
	} else if _, ok := worker.Reported[ref]; !ok {
		ran = max(0, float64(now.Unix()-placed.PlacedAt))
	}
	if interval := placed.Job.CheckpointInterval; interval > 0 {
		for ran >= interval {
			ran -= interval
		}
	}
	return ran
}
