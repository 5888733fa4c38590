package controller

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file owns that what was cancelled is gone in time. Each cancellation has one deadline, which counts
// from when it was confirmed (its record says when), whoever owns the machines by then and whatever else is
// wrong: by half of cancel_s each of its tasks is shown to have ended, or its machine is returned at the
// cloud. Limits that counted from silence, from a takeover or from the beginning of an outage began again
// with each of them, and a machine that hung outlived cancel_s where owners changed every few seconds.
// See docs/incidents/deadlines-that-began-anew.md.

// termination is what this process has tried to have what was cancelled ended on a machine.
type termination struct {
	failingSince time.Time // in vain since then; zero: not tried yet, or shown to have ended
	nextTry      time.Time // nothing is tried before
}

const (
	terminationInterval = 2 * time.Second
	terminationRecheck  = 10 * time.Second // after its worker has shown nothing of it: a launch may still have been under way
	scaleInRetry        = 2 * time.Second  // its return may have failed, and shows in no record
	// ownerGrace is how long a cancelled task is its owner's matter alone, while the state service answers.
	ownerGrace = 6 * time.Second
	// terminationPatience is how long a process must have tried by itself: it may have stalled, or begun a moment ago.
	terminationPatience  = 4 * time.Second
	terminationsPerRound = maxDirectCommands / 2 // so that those which can't be reached leave room
)

// terminationDeadline is the deadline of a cancellation. What is left of cancel_s is for the cloud, which may refuse for a while.
func terminationDeadline(w config.Workers) time.Duration { return seconds(w.CancelS / 2) }

// cancellationAge is how long ago a job may have been cancelled at most. Where its record doesn't say, since
// the version before wrote it or it is not read yet, that counts from when this process learned of it,
// which is kept in noted.
func (c *Controller) cancellationAge(job *storage.Job, now time.Time, noted map[string]time.Time) time.Duration {
	if job.FinalAtMs > 0 {
		return max(0, now.Sub(time.UnixMilli(job.FinalAtMs))+maxClockDifference(c.cfg.Deployment))
	}
	learnedAt, ok := c.cancellations.learnedAt[job.ID]
	if !ok {
		learnedAt = now
	}
	noted[job.ID] = learnedAt
	return now.Sub(learnedAt)
}

// cancellationAgeByMachine is, by machine, the age of the oldest cancellation whose tasks are not shown
// to have ended there.
func (c *Controller) cancellationAgeByMachine(now time.Time) map[int32]time.Duration {
	ages := map[int32]time.Duration{}
	noted := map[string]time.Time{}
	for _, job := range c.cache.Jobs {
		if job == nil || job.PlacedCount == 0 || !c.cancellations.cancelled(job) {
			continue
		}
		age := c.cancellationAge(job, now, noted)
		for task, index := range job.MachineOf {
			if index != storage.Nowhere && !c.attemptEnded(dispatch.Ref{Job: job, Task: task, Attempt: job.AttemptOf[task]}, c.cache.Machines[index]) {
				ages[index] = max(ages[index], age)
			}
		}
	}
	c.cancellations.learnedAt = noted
	return ages
}

// attemptEnded reports whether an attempt is shown to have ended on a machine: that one is gone, or
// this controller owns it and has the proof.
func (c *Controller) attemptEnded(ref dispatch.Ref, machine *storage.Machine) bool {
	if machine.Gone {
		return true
	}
	worker := c.workers.states[machine.Index]
	return worker != nil && c.ownsShard(machine.Shard) && (worker.terminated || worker.hasEnded(ref))
}

// superviseTerminations has what was cancelled terminated, on others' machines too where their owners may
// not know or not be able to, and returns the machines that must be given up since it can't be shown to
// have ended there. In an outage no record can say that they are, but a return needs none: a machine is gone with
// all that is on it, whoever asks, and nothing is placed again before its owner has that proof too. A
// controller that hears no worker at all may be the one that is cut off.
func (c *Controller) superviseTerminations(now time.Time) (lost []string) {
	ages := c.cancellationAgeByMachine(now)
	c.cancellations.dropEndedTerminations(ages)
	workers := c.cfg.Deployment.Workers
	outage := c.silenceOf(c.storeHealth.servedAt, now) > peerFresh
	hearsWorkers := c.silenceOf(maxTime(c.workers.anyHeardAt, c.workers.reachedAt), now) < peerFresh+seconds(workers.HeartbeatS)
	began := 0
	for _, index := range oldestFirst(ages) {
		machine, age := c.cache.Machines[index], ages[index]
		own := c.ownsShard(machine.Shard)
		if !own && !outage && age < ownerGrace {
			continue
		}
		attempt := c.cancellations.terminationOn(index)
		switch {
		case now.Before(attempt.nextTry):
		case hearsWorkers && age >= terminationDeadline(workers) && c.triedLongEnough(attempt, now):
			c.log.Info("cancelled tasks not shown to have ended, returning machine", "machine", machine.Name, "own", own, "age_s", age.Seconds())
			lost = append(lost, machine.Name)
			attempt.nextTry = now.Add(scaleInRetry)
			if own {
				c.returnMachine(machine, "can't be stopped")
			}
		case began < terminationsPerRound && c.workers.directCommands < maxDirectCommands:
			// The next try is noted so that each round begins with other machines: all began with the
			// same ones once, and those beyond the first 48 were sent nothing.
			began++
			attempt.begin(now)
			if own {
				c.sendDirect(machine, true)
			} else {
				c.terminateOn(machine, c.killsByRecord(machine), true)
			}
		}
	}
	return lost
}

// dropEndedTerminations forgets the terminations on machines where nothing is left to end.
func (t *cancellationTracker) dropEndedTerminations(ages map[int32]time.Duration) {
	for index := range t.terminations {
		if _, ok := ages[index]; !ok {
			delete(t.terminations, index)
		}
	}
}

// terminationOn is what has been tried on a machine, made when it is first asked for.
func (t *cancellationTracker) terminationOn(index int32) *termination {
	attempt := t.terminations[index]
	if attempt == nil {
		attempt = &termination{}
		t.terminations[index] = attempt
	}
	return attempt
}

// begin notes that a try begins.
func (t *termination) begin(now time.Time) {
	t.nextTry = now.Add(terminationInterval)
	if t.failingSince.IsZero() {
		t.failingSince = now
	}
}

// triedLongEnough reports whether this process has tried in vain for as long as it must.
func (c *Controller) triedLongEnough(attempt *termination, now time.Time) bool {
	return !attempt.failingSince.IsZero() && c.silenceOf(attempt.failingSince, now) > terminationPatience
}

// oldestFirst are the machines with the oldest cancellations first.
func oldestFirst(ages map[int32]time.Duration) []int32 {
	return slices.SortedFunc(maps.Keys(ages), func(a, b int32) int {
		return cmp.Or(cmp.Compare(ages[b], ages[a]), cmp.Compare(a, b))
	})
}

// killCommands are the commands that end what a machine's record still holds of jobs that are over:
// final states never change, so they are right whoever sends them.
func (c *Controller) killCommands(machine *storage.Machine) []protocol.Command {
	commands := []protocol.Command{}
	for _, placed := range machine.Tasks {
		if c.cancellations.finished(placed.Job) && len(commands) < maxCommands {
			commands = append(commands, protocol.Command{Op: protocol.OpKill, Task: protocol.TaskName(placed.Job.ID, placed.Task), Attempt: placed.Attempt})
		}
	}
	return commands
}

// killsByRecord are a machine's kill commands under the fencing token and the incarnation of its record.
func (c *Controller) killsByRecord(machine *storage.Machine) protocol.DirectCommands {
	return protocol.DirectCommands{
		FencingToken: c.cache.FencingToken(machine),
		Incarnation:  machine.Incarnation,
		Commands:     c.killCommands(machine),
	}
}

// terminateOn sends kill commands straight to a worker that this controller does not own. If it refuses
// them since its incarnation or its fencing token is another, its heartbeat tells both, and what of the
// jobs that are over is on it in truth: with again they are sent once more. Kill commands for what is over
// are right under any fencing token.
func (c *Controller) terminateOn(machine *storage.Machine, commands protocol.DirectCommands, again bool) {
	if len(commands.Commands) == 0 || machine.Addr == "" {
		return
	}
	addr := machine.Addr
	c.workers.directCommands++
	// The timeout ends this goroutine; nobody waits for it.
	go func() {
		heartbeat, status, err := c.workerLink.Command(addr, commands, directCommandTimeout)
		c.post(func() {
			c.workers.directCommands--
			c.log.Debug("kill commands for another's machine", "addr", addr, "commands", len(commands.Commands), "status", status, "err", err)
			if err != nil || heartbeat == nil || heartbeat.Machine != machine.Name || machine.Gone {
				return
			}
			c.handleKillReply(machine, heartbeat, again && status != http.StatusOK)
		})
	}()
}

// handleKillReply takes the heartbeat of a worker that was sent kill commands; with again it is sent
// commands for what it still shows.
func (c *Controller) handleKillReply(machine *storage.Machine, heartbeat *protocol.Heartbeat, again bool) {
	c.workers.reachedAt = time.Now()
	left := c.killCommandsFor(heartbeat)
	if len(left) == 0 {
		if attempt := c.cancellations.terminations[machine.Index]; attempt != nil {
			*attempt = termination{nextTry: c.workers.reachedAt.Add(terminationRecheck)}
		}
		return
	}
	if again && c.workers.directCommands < maxDirectCommands {
		kills := protocol.DirectCommands{FencingToken: heartbeat.FencingToken, Incarnation: heartbeat.Incarnation, Commands: left}
		c.terminateOn(machine, kills, false)
	}
}

// killCommandsFor are the commands that end what a worker's heartbeat shows of jobs that are over.
func (c *Controller) killCommandsFor(heartbeat *protocol.Heartbeat) []protocol.Command {
	commands := []protocol.Command{}
	for _, status := range heartbeat.Tasks {
		id, _, ok := protocol.SplitTask(status.Task)
		if !ok || status.State == protocol.TaskExited || len(commands) >= maxCommands {
			continue
		}
		if final, _ := c.cache.FinalState(id); final == protocol.Cancelled || c.cancellations.digest.isGossiped(id) {
			commands = append(commands, protocol.Command{Op: protocol.OpKill, Task: status.Task, Attempt: status.Attempt})
		}
	}
	return commands
}
