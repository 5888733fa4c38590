package dispatch

import (
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// ApplyHeartbeat takes in a newer heartbeat of a machine's worker. token is the one under which
// the machine is commanded now; reply tells that the heartbeat is the reply to a direct command; job
// finds a job by its ID, nil if there is none.
func (v *Worker) ApplyHeartbeat(machine *storage.Machine, heartbeat *protocol.Heartbeat, token uint64, reply bool, job func(string) *storage.Job) {
	if heartbeat.Incarnation != v.Incarnation {
		clear(v.Sent)
	}
	v.Incarnation = heartbeat.Incarnation
	v.Seq = heartbeat.Seq
	v.FencingToken = max(v.FencingToken, heartbeat.FencingToken)
	if !reply {
		v.HeartbeatSeq = heartbeat.Seq
	}
	seenBefore := v.Seen
	v.applyTasks(machine, heartbeat.Tasks, job)
	v.findLost(machine, heartbeat, token, seenBefore)
}

// applyTasks replaces what the worker reported of its tasks, and notes which have exited.
func (v *Worker) applyTasks(machine *storage.Machine, tasks []protocol.TaskStatus, job func(string) *storage.Job) {
	v.Seen = make(map[Ref]TaskSeen, len(tasks))
	v.Unplaced = v.Unplaced[:0]
	for _, status := range tasks {
		ref, ok := placedRef(machine, status, job)
		if !ok {
			v.Unplaced = append(v.Unplaced, status)
			continue
		}
		v.Seen[ref] = TaskSeen{State: status.State, Cause: status.Cause, Checkpointed: status.Checkpointed}
		if status.State == protocol.TaskExited {
			v.Gone[ref] = exitOutcome(status.Cause)
		}
	}
}

// placedRef names a reported attempt; ok tells whether the job's record places it on the machine.
func placedRef(machine *storage.Machine, status protocol.TaskStatus, job func(string) *storage.Job) (ref Ref, ok bool) {
	id, task, _ := protocol.SplitTask(status.Task) // a malformed name is no job's
	reported := job(id)
	if reported == nil || task >= reported.Tasks || reported.MachineOf[task] != machine.Index || reported.AttemptOf[task] != status.Attempt {
		return Ref{}, false
	}
	return Ref{reported, task, status.Attempt}, true
}

// exitOutcome is the outcome of an attempt that has exited for a cause.
func exitOutcome(cause string) Outcome {
	switch cause {
	case protocol.CauseDone:
		return Completed
	case protocol.CauseStopped:
		return Stopped
	case protocol.CauseNoCapacity, protocol.CauseBusy, protocol.CauseUnknown:
		return Refused
	default:
		return Failed
	}
}

// findLost notes the attempts of the record as lost that a heartbeat proves to be absent.
func (v *Worker) findLost(machine *storage.Machine, heartbeat *protocol.Heartbeat, token uint64, seenBefore map[Ref]TaskSeen) {
	newSession := heartbeat.Incarnation > machine.Incarnation // the lease ran out: the worker forgot every task
	provesAbsence := v.provesAbsence(machine, heartbeat, token)
	for _, placed := range machine.Tasks {
		ref := RefOf(placed)
		if _, ok := v.Seen[ref]; ok {
			continue
		}
		if _, ok := v.Gone[ref]; ok {
			continue
		}
		_, before := seenBefore[ref]
		if newSession || provesAbsence && before {
			v.Gone[ref] = Lost
		}
	}
}

// provesAbsence tells whether a task that was seen before and is not in the heartbeat is gone. Only a
// worker that has seen the present token drops what was sent under an older one.
func (v *Worker) provesAbsence(machine *storage.Machine, heartbeat *protocol.Heartbeat, token uint64) bool {
	return heartbeat.Incarnation >= machine.Incarnation && heartbeat.FencingToken >= token && !v.mayReceiveUncertain(heartbeat.FencingToken)
}

// Absent tells whether an attempt that was never reported can no longer start:
// the worker has seen the token, and every answer that carried the launch was
// to an older heartbeat than the latest.
func (v *Worker) Absent(m *storage.Machine, ref Ref, token uint64) bool {
	if _, ok := v.Seen[ref]; ok {
		return false
	}
	if v.Incarnation != m.Incarnation || v.FencingToken < token || v.FencingToken <= v.Uncertain || v.DirectInFlight {
		return false
	}
	sentSeq, sent := v.Sent[ref]
	return !sent || sentSeq < v.HeartbeatSeq
}
