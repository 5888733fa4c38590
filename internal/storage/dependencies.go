package storage

import (
	"time"

	"dykeledge/internal/protocol"
)

// dependencyGraph is the graph of jobs that wait for other jobs. A job names only jobs that
// were accepted before it was itself, so the graph has no cycles: an edge always leads
// to an earlier acceptance. Records are read in any order, though, and a job may be
// known before one that it names.
type dependencyGraph struct {
	jobs *jobTable
	feed *changeFeed

	dependents map[string][]*Job // by id: open jobs that wait for it
	failed     []*Job            // cancelled with a dependency; those that are over are dropped when they are asked for
	newlyReady []*Job            // since they were last taken
	inheritors map[*Job]int      // jobs that have inherited from their dependents
	changed    bool              // since inherit last ran
}

func newDependencyGraph(jobs *jobTable, feed *changeFeed) *dependencyGraph {
	return &dependencyGraph{jobs: jobs, feed: feed, dependents: map[string][]*Job{}}
}

// addJob takes a new open job into the graph.
func (g *dependencyGraph) addJob(job *Job) {
	job.unmetDependencies = len(job.Dependencies) // at first: it is not ready before all of them were looked at
	for _, id := range job.Dependencies {
		if state, ok := g.jobs.recordedFinalState(id); ok {
			g.dependencyEnded(job, state)
			continue
		}
		g.dependents[id] = append(g.dependents[id], job)
		if dependency := g.jobs.find(id); dependency != nil && dependency.DependencyFailed {
			g.failWithDependents(job)
		}
	}
	g.changed = g.changed || len(job.Dependencies) > 0
}

// dependencyAdded takes in that a job is known now, which others may have named before.
func (g *dependencyGraph) dependencyAdded(id string) {
	if len(g.dependents[id]) > 0 {
		g.changed = true
	}
}

// jobEnded tells the jobs that wait for one that it is over.
func (g *dependencyGraph) jobEnded(id string, state FinalState) {
	// What it needed inherits from it no more.
	g.changed = g.changed || len(g.inheritors) > 0
	dependents := g.dependents[id]
	if dependents == nil {
		return
	}
	delete(g.dependents, id)
	for _, job := range dependents {
		g.dependencyEnded(job, state)
	}
}

// dependencyEnded takes in that a dependency of a job is over. From the last one's end on the job's
// times count: it is read from that dependency's record, and so outlives every owner.
func (g *dependencyGraph) dependencyEnded(job *Job, state FinalState) {
	job.unmetDependencies--
	g.feed.addJob(job)
	if state.Status == protocol.Cancelled {
		g.failWithDependents(job)
		return
	}
	if endedAt := time.UnixMilli(state.RecordedMs); state.RecordedMs > 0 && endedAt.After(job.ReadyAt) {
		job.ReadyAt = endedAt
	}
	if job.unmetDependencies == 0 && !job.DependencyFailed {
		g.newlyReady = append(g.newlyReady, job)
	}
}

// failWithDependents marks a job and all its dependents, direct or through others, as cancelled with
// one before them. That follows from the records alone, so every controller says the same at
// once; their own final records are written later.
func (g *dependencyGraph) failWithDependents(job *Job) {
	pending := []*Job{job}
	for len(pending) > 0 {
		next := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if next.DependencyFailed || !next.Open() {
			continue
		}
		next.DependencyFailed, g.changed = true, true
		g.feed.addJob(next)
		g.failed = append(g.failed, next)
		pending = append(pending, g.dependents[next.ID]...)
	}
}

// removeJob drops a job that is over.
func (g *dependencyGraph) removeJob(job *Job) { delete(g.inheritors, job) }

// openFailedJobs drops the failed jobs that are over and returns the others.
func (g *dependencyGraph) openFailedJobs() []*Job {
	open := g.failed[:0]
	for _, job := range g.failed {
		if job.Open() {
			open = append(open, job)
		}
	}
	clear(g.failed[len(open):])
	g.failed = open
	return open
}

func (g *dependencyGraph) takeNewlyReady() []*Job {
	ready := g.newlyReady
	g.newlyReady = nil
	return ready
}

// canRun tells whether a job is known, open and not cancelled with a dependency.
func canRun(job *Job) bool { return job != nil && job.Open() && !job.DependencyFailed }

// inherit is described at Cache.Inherit.
func (g *dependencyGraph) inherit(finishTimes func(*Job) (finishBy, finishLatest time.Time), duration func(*Job) time.Duration) {
	if !g.changed {
		return
	}
	g.changed = false
	unvisited := g.resetAndCountDependents(finishTimes)
	// What nothing depends on any more has only its own left.
	for job := range g.inheritors {
		if _, ok := unvisited[job]; !ok {
			job.Priority, job.FinishBy, job.FinishLatest = job.OwnPriority, time.Time{}, time.Time{}
		}
	}
	g.inheritors = unvisited
	var pending []*Job
	for job, count := range unvisited {
		if count == 0 {
			pending = append(pending, job)
		}
	}
	for len(pending) > 0 {
		job := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		pending = g.propagate(job, duration(job), unvisited, pending)
	}
}

// resetAndCountDependents returns the jobs of the graph that may run, each with the number of its
// dependents among them, and sets them back to what they have by themselves.
func (g *dependencyGraph) resetAndCountDependents(finishTimes func(*Job) (finishBy, finishLatest time.Time)) map[*Job]int {
	counts := map[*Job]int{}
	visit := func(job *Job) {
		if _, ok := counts[job]; !ok {
			counts[job] = 0
			job.Priority = job.OwnPriority
			job.FinishBy, job.FinishLatest = finishTimes(job)
		}
	}
	for id, dependents := range g.dependents {
		dependency := g.jobs.find(id)
		if !canRun(dependency) {
			continue
		}
		visit(dependency)
		for _, job := range dependents {
			if canRun(job) {
				visit(job)
				counts[dependency]++
			}
		}
	}
	return counts
}

// propagate lets the dependencies of a job inherit from it, and adds to pending those all of whose
// dependents were visited now.
func (g *dependencyGraph) propagate(job *Job, duration time.Duration, unvisited map[*Job]int, pending []*Job) []*Job {
	for _, id := range job.Dependencies {
		dependency := g.jobs.find(id)
		if !canRun(dependency) {
			continue
		}
		dependency.Priority = max(dependency.Priority, job.Priority)
		dependency.FinishBy = earlierFinish(dependency.FinishBy, job.FinishBy, duration)
		dependency.FinishLatest = earlierFinish(dependency.FinishLatest, job.FinishLatest, duration)
		if unvisited[dependency]--; unvisited[dependency] == 0 {
			pending = append(pending, dependency)
		}
	}
	return pending
}

// earlierFinish is the earlierFinish of a job's own time and that of a dependent less how long the dependent
// takes. A zero time is none.
func earlierFinish(own, dependent time.Time, duration time.Duration) time.Time {
	if dependent.IsZero() {
		return own
	}
	if latest := dependent.Add(-duration); own.IsZero() || latest.Before(own) {
		return latest
	}
	return own
}

// DependencyFailed returns the jobs that were cancelled with one before them and have no final
// record of their own yet. The list is valid until the next change.
func (c *Cache) DependencyFailed() []*Job { return c.dependencies.openFailedJobs() }

// NewlyReady returns the jobs that became ready since it was last called.
func (c *Cache) NewlyReady() []*Job { return c.dependencies.takeNewlyReady() }

// Inherit works out what jobs inherit from their dependents: the highest priority of
// any, and the latest time at which they must be over for those to be in time. aims tells
// when a job itself should be over at best and at the latest (zero: no such time), duration
// how long it will take. Every job and edge is visited once.
func (c *Cache) Inherit(finishTimes func(*Job) (finishBy, finishLatest time.Time), duration func(*Job) time.Duration) {
	c.dependencies.inherit(finishTimes, duration)
}
