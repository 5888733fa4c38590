package controller

import (
	"cmp"
	"slices"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file owns that what was cancelled is gone in time. Each cancellation has one deadline, which counts from when it was
// confirmed (its record tells), whoever owns the machines by then and whatever else is wrong: by half of cancel_s
// each of its tasks is shown to have ended, or its machine is returned at the cloud. Limits that counted from
// silence, from a takeover or from the beginning of an outage began anew with each of them, and a machine that hung outlived
// cancel_s where owners changed every few seconds. See docs/incidents/deadlines-that-began-anew.md.

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
	// terminationPatience is how long a process must have tried by itself: it may have slept, or begun a moment ago.
	terminationPatience  = 4 * time.Second
	terminationsPerRound = maxDirectCommands / 2 // so that those which can't be reached leave room
)

// terminationDeadline is the deadline of a cancellation. What is left of cancel_s is for the cloud, which may refuse for a while.
func terminationDeadline(w config.Workers) time.Duration { return seconds(w.CancelS / 2) }

// cancelled tells whether a job is cancelled, as its record says or a peer that has confirmed it.
func (c *Controller) cancelled(j *storage.Job) bool {
	_, told := c.cancellations.digest.gossiped[j.ID]
	return told || j.Final == protocol.Cancelled
}

// cancellationAge is how long ago a job may have been cancelled at most. Where its record doesn't tell, since the version before wrote
// it or it is not read yet, that counts from when this process learned of it, which is kept in noted.
func (c *Controller) cancellationAge(j *storage.Job, now time.Time, noted map[string]time.Time) time.Duration {
	if j.FinalAtMs > 0 {
		off := time.Duration(2 * c.cfg.Deployment.ClockSkewMs * float64(time.Millisecond))
		return max(0, now.Sub(time.UnixMilli(j.FinalAtMs))+off)
	}
	at, ok := c.cancellations.learnedAt[j.ID]
	if !ok {
		at = now
	}
	noted[j.ID] = at
	return now.Sub(at)
}

// cancellationAgeByMachine is by machine how long ago the earliest of those cancelled jobs was whose tasks are not shown to have ended there.
func (c *Controller) cancellationAgeByMachine(now time.Time) map[int32]time.Duration {
	var ages map[int32]time.Duration
	noted := map[string]time.Time{}
	for _, job := range c.cache.Jobs {
		if job == nil || job.PlacedCount == 0 || !c.cancelled(job) {
			continue
		}
		age := c.cancellationAge(job, now, noted)
		for t, i := range job.MachineOf {
			if i == storage.Nowhere {
				continue
			}
			m := c.cache.Machines[i]
			if v := c.workers.states[i]; m.Gone || v != nil && c.ownsShard(m.Shard) && (v.terminated || v.hasEnded(dispatch.Ref{Job: job, Task: t, Attempt: job.AttemptOf[t]})) {
				continue
			}
			if ages == nil {
				ages = map[int32]time.Duration{}
			}
			ages[i] = max(ages[i], age)
		}
	}
	c.cancellations.learnedAt = noted
	return ages
}

// superviseTerminations has what was cancelled stopped, on others' machines too where their owners may not know or not be able to, and
// tells which machines must be returned since it can't be shown to have ended there. In an outage no record can say
// that they are, but a return needs none: a machine is gone with all that is on it, whoever asks, and nothing is placed again
// before its owner has that proof too. A controller that hears no worker at all may be the one that is cut off.
func (c *Controller) superviseTerminations(now time.Time) (lost []string) {
	ages := c.cancellationAgeByMachine(now)
	for i := range c.cancellations.terminations {
		if _, ok := ages[i]; !ok {
			delete(c.cancellations.terminations, i)
		}
	}
	order := make([]int32, 0, len(ages))
	for i := range ages {
		order = append(order, i)
	}
	slices.SortFunc(order, func(a, b int32) int { return cmp.Or(cmp.Compare(ages[b], ages[a]), cmp.Compare(a, b)) })
	workers := c.cfg.Deployment.Workers
	outage := c.silenceOf(c.storeHealth.servedAt, now) > peerFresh
	hears := c.silenceOf(maxTime(c.workers.anyHeardAt, c.workers.reachedAt), now) < peerFresh+seconds(workers.HeartbeatS)
	began := 0
	for _, i := range order {
		machine, attempt := c.cache.Machines[i], c.cancellations.terminations[i]
		own := c.ownsShard(machine.Shard)
		if !own && !outage && ages[i] < ownerGrace {
			continue
		}
		if attempt == nil {
			attempt = &termination{}
			c.cancellations.terminations[i] = attempt
		}
		switch {
		case now.Before(attempt.nextTry):
		case !attempt.failingSince.IsZero() && hears && ages[i] >= terminationDeadline(workers) && c.silenceOf(attempt.failingSince, now) > terminationPatience:
			c.log.Info("what was cancelled can't be shown to have ended, returning machine", "machine", machine.Name, "own", own, "for", ages[i].Seconds())
			lost = append(lost, machine.Name)
			attempt.nextTry = now.Add(scaleInRetry)
			if own {
				c.returnMachine(machine, "can't be stopped")
			}
		case began < terminationsPerRound && c.workers.directCommands < maxDirectCommands:
			// Each round began with the same machines once, and those beyond the first 48 had no stop.
			began++
			attempt.nextTry = now.Add(terminationInterval)
			if attempt.failingSince.IsZero() {
				attempt.failingSince = now
			}
			if own {
				c.sendDirect(machine, true)
			} else {
				c.terminateOn(machine, protocol.DirectCommands{FencingToken: c.cache.FencingToken(machine), Incarnation: machine.Incarnation, Commands: c.killCommands(machine)}, true)
			}
		}
	}
	return lost
}

// killCommands are the commands that end what a machine's record still holds of jobs that are over:
// final states never change, so they are right whoever sends them.
func (c *Controller) killCommands(m *storage.Machine) []protocol.Command {
	out := []protocol.Command{}
	for _, p := range m.Tasks {
		if c.cancellations.finished(p.Job) && len(out) < maxCommands {
			out = append(out, protocol.Command{Op: protocol.OpKill, Task: protocol.TaskName(p.Job.ID, p.Task), Attempt: p.Attempt})
		}
	}
	return out
}

// terminateOn sends stops straight to a worker that this controller does not own. If it refuses them since its session or its
// token is another, its heartbeat tells both, and what of the jobs that are over is on it in truth:
// with again they are sent once more. Stops of what is over are right under any token.
func (c *Controller) terminateOn(machine *storage.Machine, cmd protocol.DirectCommands, again bool) {
	if len(cmd.Commands) == 0 || machine.Addr == "" {
		return
	}
	addr := machine.Addr
	c.workers.directCommands++
	go func() {
		heartbeat, status, err := c.workerLink.Command(addr, cmd, 2*time.Second)
		c.post(func() {
			c.workers.directCommands--
			c.log.Debug("stops for another's machine", "addr", addr, "stops", len(cmd.Commands), "status", status, "err", err)
			if err != nil || heartbeat == nil || heartbeat.Machine != machine.Name || machine.Gone {
				return
			}
			c.workers.reachedAt = time.Now()
			switch left := c.killCommandsFor(heartbeat); {
			case len(left) == 0:
				if s := c.cancellations.terminations[machine.Index]; s != nil {
					*s = termination{nextTry: c.workers.reachedAt.Add(terminationRecheck)}
				}
			case status != 200 && again && c.workers.directCommands < maxDirectCommands:
				c.terminateOn(machine, protocol.DirectCommands{FencingToken: heartbeat.FencingToken, Incarnation: heartbeat.Incarnation, Commands: left}, false)
			}
		})
	}()
}

// killCommandsFor are the commands that end what a worker's heartbeat shows of jobs that are over.
func (c *Controller) killCommandsFor(heartbeat *protocol.Heartbeat) []protocol.Command {
	out := []protocol.Command{}
	for _, t := range heartbeat.Tasks {
		id, _, ok := protocol.SplitTask(t.Task)
		if !ok || t.State == protocol.TaskExited || len(out) >= maxCommands {
			continue
		}
		f, _ := c.cache.FinalState(id)
		if _, told := c.cancellations.digest.gossiped[id]; told || f == protocol.Cancelled {
			out = append(out, protocol.Command{Op: protocol.OpKill, Task: t.Task, Attempt: t.Attempt})
		}
	}
	return out
}
