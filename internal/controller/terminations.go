package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/storage"
)

// This file makes sure that cancelled tasks end in time. Each cancellation has one deadline, counted
// from its confirmation (whose time its record holds), whichever controllers own the machines and
// whatever else fails: within half of cancel_s each of its tasks is proved to have ended, or its
// machine is returned to the cloud. Earlier limits counted from a machine's silence, from a takeover
// or from the start of an outage. They began again with each of these, and a machine that hung
// outlasted cancel_s when owners changed every few seconds.
// See docs/incidents/deadlines-that-began-anew.md.

// termination holds this process's tries to terminate the cancelled tasks on one machine.
type termination struct {
	failingSince time.Time // time of the first try without proof; zero: not tried yet, or proved to have ended
	nextTry      time.Time // no try is made before this time
}

const (
	// terminationInterval is the time between two tries on a machine.
	terminationInterval = 2 * time.Second
	// terminationRecheckInterval is the time to the next try after a worker showed no cancelled task: a
	// launch command may still have been in flight.
	terminationRecheckInterval = 10 * time.Second
	// scaleInRetryInterval is the time after which a machine's return is requested again: the request may
	// have failed, and no record shows that.
	scaleInRetryInterval = 2 * time.Second
	// ownerGrace is how long after a cancellation only the machine's owner terminates its tasks, while
	// the state service answers.
	ownerGrace = 6 * time.Second
	// minTerminationTime is how long a process must have tried before it returns a machine: it may
	// have stalled, or have only just started.
	minTerminationTime = 4 * time.Second
	// terminationsPerRound limits the tries of one round, so that unreachable machines do not use all
	// of the direct commands.
	terminationsPerRound = maxDirectCommands / 2
)

// terminationDeadline returns how long after its confirmation a cancellation has its deadline. The
// rest of cancel_s is left for the cloud, which may refuse requests for a while.
func terminationDeadline(w config.Workers) time.Duration { return seconds(w.CancelS / 2) }

// cancellationAge returns the longest time that may have passed since a job was cancelled. If the
// time is not in the job's record, because an earlier version of this program wrote it or the record
// has not been read yet, the age counts from when this process learned of the cancellation; that time
// is stored in stillListed.
func (c *Controller) cancellationAge(job *storage.Job, now time.Time, stillListed map[string]time.Time) time.Duration {
	if job.FinalAtMs > 0 {
		return max(0, now.Sub(time.UnixMilli(job.FinalAtMs))+maxClockDifference(c.cfg.Deployment))
	}
	firstSeenAt, ok := c.cancellations.firstSeenAt[job.ID]
	if !ok {
		firstSeenAt = now
	}
	stillListed[job.ID] = firstSeenAt
	return now.Sub(firstSeenAt)
}

// cancellationAgeByMachine returns, by machine index, the age of the oldest cancellation that has
// tasks on the machine which are not proved to have ended.
func (c *Controller) cancellationAgeByMachine(now time.Time) map[int32]time.Duration {
	ages := map[int32]time.Duration{}
	stillListed := map[string]time.Time{}
	for _, job := range c.cache.Jobs {
		if job == nil || job.PlacedCount == 0 || !c.cancellations.cancelled(job) {
			continue
		}
		age := c.cancellationAge(job, now, stillListed)
		for task, index := range job.MachineOf {
			if index != storage.NotPlaced && !c.attemptEnded(dispatch.AttemptRef{Job: job, Task: task, Attempt: job.AttemptOf[task]}, c.cache.Machines[index]) {
				ages[index] = max(ages[index], age)
			}
		}
	}
	c.cancellations.firstSeenAt = stillListed
	return ages
}

// attemptEnded reports whether an attempt is proved to have ended on a machine: the machine is gone,
// or this controller owns it and has the proof.
func (c *Controller) attemptEnded(ref dispatch.AttemptRef, machine *storage.Machine) bool {
	if machine.Gone {
		return true
	}
	worker := c.workers.states[machine.Index]
	return worker != nil && c.ownsShard(machine.Shard) && (worker.terminated || worker.hasEnded(ref))
}

// superviseTerminations terminates cancelled tasks, also on machines of other owners that may not
// have the cancellation or may not be able to act on it. It returns the names of the machines that
// must be returned to the cloud because their cancelled tasks are not proved to have ended. In an
// outage no record can show such a return, but none is needed: the machine ends with all its tasks,
// whichever controller requests it, and nothing is placed again before the machine's owner has that
// proof too. A controller that receives messages from no worker returns no machines, since it may be
// the one that is cut off.
func (c *Controller) superviseTerminations(now time.Time) (toReturn []string) {
	ages := c.cancellationAgeByMachine(now)
	c.cancellations.dropEndedTerminations(ages)
	workers := c.cfg.Deployment.Workers
	outage := c.silenceOf(c.storeHealth.servedAt, now) > peerFreshPeriod
	receivesWorkerMessages := c.silenceOf(maxTime(c.workers.lastWorkerMessageAt, c.workers.killsAnsweredAt), now) < peerFreshPeriod+seconds(workers.HeartbeatS)
	tries := 0
	for _, index := range oldestFirst(ages) {
		machine, age := c.cache.Machines[index], ages[index]
		own := c.ownsShard(machine.Shard)
		if !own && !outage && age < ownerGrace {
			continue
		}
		progress := c.cancellations.terminationOn(index)
		switch {
		case now.Before(progress.nextTry):
		case receivesWorkerMessages && age >= terminationDeadline(workers) && c.triedLongEnough(progress, now):
			c.log.Info("cancelled tasks not proved to have ended by the deadline, returning machine", "machine", machine.Name, "own", own, "age_s", age.Seconds())
			toReturn = append(toReturn, machine.Name)
			progress.nextTry = now.Add(scaleInRetryInterval)
			if own {
				c.returnMachine(machine, "can't be stopped")
			}
		case tries < terminationsPerRound && c.workers.directCommands < maxDirectCommands:
			// beginTry sets the time of the next try, so that each round starts with other machines. When
			// every round started with the same ones, those beyond the first 48 were sent nothing.
			tries++
			progress.beginTry(now)
			if own {
				c.sendDirect(machine, true)
			} else {
				c.sendKills(machine, c.killCommandsByRecord(machine), true)
			}
		}
	}
	return toReturn
}

// dropEndedTerminations deletes the terminations on machines that have no cancelled task left.
func (t *cancellationTracker) dropEndedTerminations(ages map[int32]time.Duration) {
	for index := range t.terminations {
		if _, ok := ages[index]; !ok {
			delete(t.terminations, index)
		}
	}
}

// terminationOn returns the termination on a machine, and creates it if there is none.
func (t *cancellationTracker) terminationOn(index int32) *termination {
	progress := t.terminations[index]
	if progress == nil {
		progress = &termination{}
		t.terminations[index] = progress
	}
	return progress
}

// beginTry records the start of a try.
func (t *termination) beginTry(now time.Time) {
	t.nextTry = now.Add(terminationInterval)
	if t.failingSince.IsZero() {
		t.failingSince = now
	}
}

// triedLongEnough reports whether this process has tried without success for minTerminationTime.
func (c *Controller) triedLongEnough(progress *termination, now time.Time) bool {
	return !progress.failingSince.IsZero() && c.silenceOf(progress.failingSince, now) > minTerminationTime
}

// oldestFirst returns the machine indexes, those with the oldest cancellations first.
func oldestFirst(ages map[int32]time.Duration) []int32 {
	return slices.SortedFunc(maps.Keys(ages), func(a, b int32) int {
		return cmp.Or(cmp.Compare(ages[b], ages[a]), cmp.Compare(a, b))
	})
}
