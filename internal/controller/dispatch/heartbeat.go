package dispatch

import (
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// ApplyHeartbeat applies a newer heartbeat of a machine's worker. token is the fencing token under which
// the machine is now commanded; isReply is true if the heartbeat is the reply to a direct command; findJob
// returns the job with an ID, nil if there is none.
func (w *Worker) ApplyHeartbeat(machine *storage.Machine, heartbeat *protocol.Heartbeat, token uint64, isReply bool, findJob func(string) *storage.Job) {
	if heartbeat.Incarnation != w.Incarnation {
		clear(w.LaunchSentSeq)
		clear(w.directLaunches)
		w.lastLaunchSeq = 0
	}
	w.Incarnation = heartbeat.Incarnation
	w.Seq = heartbeat.Seq
	w.FencingToken = max(w.FencingToken, heartbeat.FencingToken)
	if !isReply {
		w.HeartbeatSeq = heartbeat.Seq
	}
	reportedBefore := w.Reported
	w.applyTasks(machine, heartbeat.Tasks, findJob)
	w.pruneDirectLaunches(machine, findJob)
	w.markLost(machine, heartbeat, token, reportedBefore)
}

// applyTasks replaces the reported attempts and records the outcomes of those that have exited.
func (w *Worker) applyTasks(machine *storage.Machine, tasks []protocol.TaskStatus, findJob func(string) *storage.Job) {
	w.Reported = make(map[AttemptRef]ReportedAttempt, len(tasks))
	w.Unplaced = w.Unplaced[:0]
	for _, status := range tasks {
		if status.IsRenewalMarker() {
			continue
		}
		ref, ok := findPlacedAttempt(machine, status, findJob)
		if !ok {
			w.Unplaced = append(w.Unplaced, status)
			continue
		}
		w.Reported[ref] = ReportedAttempt{State: status.State, Cause: status.Cause, Checkpointed: status.Checkpointed}
		if status.State == protocol.TaskExited {
			w.Gone[ref] = exitOutcome(status.Cause)
		}
	}
}

// findPlacedAttempt returns the reference of a reported attempt; ok reports whether the job's record places
// it on the machine.
func findPlacedAttempt(machine *storage.Machine, status protocol.TaskStatus, findJob func(string) *storage.Job) (ref AttemptRef, ok bool) {
	id, task, _ := protocol.ParseTaskName(status.Task) // a malformed name matches no job
	job := findJob(id)
	if job == nil || task >= job.Tasks || job.MachineOf[task] != machine.Index || job.AttemptOf[task] != status.Attempt {
		return AttemptRef{}, false
	}
	return AttemptRef{job, task, status.Attempt}, true
}

// exitOutcome returns the outcome of an attempt that exited with a cause.
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

// markLost records attempts of the record as lost if a heartbeat proves that they are absent.
func (w *Worker) markLost(machine *storage.Machine, heartbeat *protocol.Heartbeat, token uint64, reportedBefore map[AttemptRef]ReportedAttempt) {
	newIncarnation := heartbeat.Incarnation > machine.Incarnation // the session lease expired: the worker dropped every task
	provesAbsence := w.provesAbsence(machine, heartbeat, token)
	for _, placed := range machine.Tasks {
		ref := AttemptRefOf(placed)
		if _, ok := w.Reported[ref]; ok {
			continue
		}
		if _, ok := w.Gone[ref]; ok {
			continue
		}
		_, wasReported := reportedBefore[ref]
		if newIncarnation || provesAbsence && wasReported {
			w.Gone[ref] = Lost
		}
	}
}

// provesAbsence reports whether a heartbeat proves that previously reported attempts missing from it have
// ended. Only a worker that has seen the current token drops commands sent under an older one.
func (w *Worker) provesAbsence(machine *storage.Machine, heartbeat *protocol.Heartbeat, token uint64) bool {
	return heartbeat.Incarnation >= machine.Incarnation && heartbeat.FencingToken >= token && !w.launchMayArrive(heartbeat.FencingToken, w.lastLaunchSeq)
}

// CannotStart reports whether an attempt that was never reported can no longer start: the worker has seen the
// token, so launches of former owners are refused, and no launch of this owner may arrive any more.
func (w *Worker) CannotStart(machine *storage.Machine, ref AttemptRef, token uint64) bool {
	if _, ok := w.Reported[ref]; ok {
		return false
	}
	if w.Incarnation != machine.Incarnation || w.FencingToken < token {
		return false
	}
	return !w.launchMayArrive(w.FencingToken, w.LaunchSentSeq[ref])
}
