package storage

import (
	"time"

	"dykeledge/internal/protocol"
)

// dependencyGraph is the graph of jobs that wait for other jobs. It has no cycles because a job can
// depend only on jobs that were accepted before it. Records are read in any order, however, so a job
// may be in the cache before its dependencies.
type dependencyGraph struct {
	jobs *jobTable
	feed *changeFeed

	dependents map[string][]*Job // by the id of a job: the open jobs that wait for it
	failed     []*Job            // jobs cancelled because of a dependency; openFailedJobs removes the final ones
	newlyReady []*Job            // jobs that became ready since takeNewlyReady was last called
	inheritors map[*Job]int      // keys: the jobs that the last run of inherit updated; it counts the values down
	changed    bool              // the graph has changed since inherit last ran
}

func newDependencyGraph(jobs *jobTable, feed *changeFeed) *dependencyGraph {
	return &dependencyGraph{jobs: jobs, feed: feed, dependents: map[string][]*Job{}}
}

// addJob adds a new open job to the graph.
func (g *dependencyGraph) addJob(job *Job) {
	job.unmetDependencies = len(job.Dependencies) // not ready until the loop has checked all dependencies
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

// dependencyAdded records that a job is now in the cache on which other jobs may already depend.
func (g *dependencyGraph) dependencyAdded(id string) {
	if len(g.dependents[id]) > 0 {
		g.changed = true
	}
}

// jobEnded updates the jobs that depend on a job that has become final.
func (g *dependencyGraph) jobEnded(id string, state FinalState) {
	// Its dependencies no longer inherit from it.
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

// dependencyEnded updates a job when one of its dependencies has become final. The job's times count
// from the end of its last dependency. That time comes from the dependency's record, so it survives
// a change of the shard's owner.
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

// failWithDependents marks a job and all its direct and indirect dependents as cancelled because a
// dependency was cancelled. This follows from the records alone, so all controllers reach the same
// result at once; the jobs' own final records are written later.
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

// pruneJob removes a final job.
func (g *dependencyGraph) pruneJob(job *Job) { delete(g.inheritors, job) }

// openFailedJobs removes the final jobs from failed and returns the remaining ones.
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

// canRun reports whether a job is in the cache, open and not cancelled because of a dependency.
func canRun(job *Job) bool { return job != nil && job.Open() && !job.DependencyFailed }

// inherit implements Cache.InheritFromDependents.
func (g *dependencyGraph) inherit(finishTimes func(*Job) (finishBy, finishLatest time.Time), duration func(*Job) time.Duration) {
	if !g.changed {
		return
	}
	g.changed = false
	unvisited := g.resetAndCountDependents(finishTimes)
	// A job without dependents is left with its own priority and no finish times.
	for job := range g.inheritors {
		if _, ok := unvisited[job]; !ok {
			job.Priority, job.TargetFinish, job.LatestFinish = job.OwnPriority, time.Time{}, time.Time{}
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

// resetAndCountDependents resets the jobs in the graph that can run to their own priority and finish
// times, and returns each with the number of its dependents that can run.
func (g *dependencyGraph) resetAndCountDependents(finishTimes func(*Job) (finishBy, finishLatest time.Time)) map[*Job]int {
	counts := map[*Job]int{}
	visit := func(job *Job) {
		if _, ok := counts[job]; !ok {
			counts[job] = 0
			job.Priority = job.OwnPriority
			job.TargetFinish, job.LatestFinish = finishTimes(job)
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

// propagate updates a job's dependencies with its priority and finish times, and appends to pending
// those whose dependents have all been visited.
func (g *dependencyGraph) propagate(job *Job, duration time.Duration, unvisited map[*Job]int, pending []*Job) []*Job {
	for _, id := range job.Dependencies {
		dependency := g.jobs.find(id)
		if !canRun(dependency) {
			continue
		}
		dependency.Priority = max(dependency.Priority, job.Priority)
		dependency.TargetFinish = earlierFinish(dependency.TargetFinish, job.TargetFinish, duration)
		dependency.LatestFinish = earlierFinish(dependency.LatestFinish, job.LatestFinish, duration)
		if unvisited[dependency]--; unvisited[dependency] == 0 {
			pending = append(pending, dependency)
		}
	}
	return pending
}

// earlierFinish returns the earlier of a job's own finish time and the latest finish time that still
// allows the dependent, which runs for duration, to finish in time. A zero time means no finish time.
func earlierFinish(own, dependent time.Time, duration time.Duration) time.Time {
	if dependent.IsZero() {
		return own
	}
	if latest := dependent.Add(-duration); own.IsZero() || latest.Before(own) {
		return latest
	}
	return own
}

// JobsWithFailedDependency returns the jobs that were cancelled because of a dependency and have no final
// record of their own yet. The list is valid until the next change of the cache.
func (c *Cache) JobsWithFailedDependency() []*Job { return c.dependencies.openFailedJobs() }

// TakeNewlyReady returns the jobs that became ready since the last call.
func (c *Cache) TakeNewlyReady() []*Job { return c.dependencies.takeNewlyReady() }

// InheritFromDependents propagates priorities and finish times from jobs to their dependencies: a job gets the
// highest priority among its own and those of its dependents, and the latest finish times that still
// allow its dependents to finish in time. finishTimes returns the times by which a job itself should
// finish at best and at the latest (zero: no such time); duration returns its expected run time. Each
// job and edge is visited once.
func (c *Cache) InheritFromDependents(finishTimes func(*Job) (finishBy, finishLatest time.Time), duration func(*Job) time.Duration) {
	c.dependencies.inherit(finishTimes, duration)
}
