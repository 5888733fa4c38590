package dispatch

import (
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// ApplyHeartbeat takes in a newer heartbeat of a machine's worker. token is the one under which
// the machine is commanded now; reply tells that the heartbeat is the reply to a direct command; job
// finds a job by its ID, nil if there is none.
func (w *Worker) ApplyHeartbeat(machine *storage.Machine, heartbeat *protocol.Heartbeat, token uint64, isReply bool, findJob func(string) *storage.Job) {
	if heartbeat.Incarnation != w.Incarnation {
		clear(w.Sent)
	}
	w.Incarnation = heartbeat.Incarnation
	w.Seq = heartbeat.Seq
	w.FencingToken = max(w.FencingToken, heartbeat.FencingToken)
	if !isReply {
		w.HeartbeatSeq = heartbeat.Seq
	}
	reportedBefore := w.Seen
	w.applyTasks(machine, heartbeat.Tasks, findJob)
	w.markLost(machine, heartbeat, token, reportedBefore)
}

// applyTasks replaces what the worker reported of its tasks, and notes which have exited.
func (w *Worker) applyTasks(machine *storage.Machine, tasks []protocol.TaskStatus, findJob func(string) *storage.Job) {
	w.Seen = make(map[Ref]TaskSeen, len(tasks))
	w.Unplaced = w.Unplaced[:0]
	for _, status := range tasks {
		ref, ok := findPlacedAttempt(machine, status, findJob)
		if !ok {
			w.Unplaced = append(w.Unplaced, status)
			continue
		}
		w.Seen[ref] = TaskSeen{State: status.State, Cause: status.Cause, Checkpointed: status.Checkpointed}
		if status.State == protocol.TaskExited {
			w.Gone[ref] = exitOutcome(status.Cause)
		}
	}
}

// findPlacedAttempt names a reported attempt; ok tells whether the job's record places it on the machine.
func findPlacedAttempt(machine *storage.Machine, status protocol.TaskStatus, findJob func(string) *storage.Job) (ref Ref, ok bool) {
	id, task, _ := protocol.SplitTask(status.Task) // a malformed name is no job's
	job := findJob(id)
	if job == nil || task >= job.Tasks || job.MachineOf[task] != machine.Index || job.AttemptOf[task] != status.Attempt {
		return Ref{}, false
	}
	return Ref{job, task, status.Attempt}, true
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

// markLost notes the attempts of the record as lost that a heartbeat proves to be absent.
func (w *Worker) markLost(machine *storage.Machine, heartbeat *protocol.Heartbeat, token uint64, reportedBefore map[Ref]TaskSeen) {
	newSession := heartbeat.Incarnation > machine.Incarnation // the lease ran out: the worker forgot every task
	provesAbsence := w.provesAbsence(machine, heartbeat, token)
	for _, placed := range machine.Tasks {
		ref := RefOf(placed)
		if _, ok := w.Seen[ref]; ok {
			continue
		}
		if _, ok := w.Gone[ref]; ok {
			continue
		}
		_, wasReported := reportedBefore[ref]
		if newSession || provesAbsence && wasReported {
			w.Gone[ref] = Lost
		}
	}
}

// provesAbsence tells whether a task that was seen before and is not in the heartbeat is gone. Only a
// worker that has seen the present token drops what was sent under an older one.
func (w *Worker) provesAbsence(machine *storage.Machine, heartbeat *protocol.Heartbeat, token uint64) bool {
	return heartbeat.Incarnation >= machine.Incarnation && heartbeat.FencingToken >= token && !w.mayReceiveUncertain(heartbeat.FencingToken)
}

// Absent tells whether an attempt that was never reported can no longer start:
// the worker has seen the token, and every answer that carried the launch was
// to an older heartbeat than the latest.
func (w *Worker) Absent(machine *storage.Machine, ref Ref, token uint64) bool {
	if _, ok := w.Seen[ref]; ok {
		return false
	}
	if w.Incarnation != machine.Incarnation || w.FencingToken < token || w.FencingToken <= w.Uncertain || w.DirectInFlight {
		return false
	}
	sentSeq, sent := w.Sent[ref]
	return !sent || sentSeq < w.HeartbeatSeq
}
