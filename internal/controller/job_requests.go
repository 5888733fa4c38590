package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// Answer is what a user gets; RetryAfter above 0 tells when to come back.
type Answer struct {
	Status     int
	Body       any
	RetryAfter int
}

func refuse(status int, msg string) Answer {
	a := Answer{Status: status, Body: protocol.ErrorResponse{Error: msg}}
	if status == 503 {
		a.RetryAfter = 1
	}
	return a
}

var errRetryLater = refuse(503, "the service cannot decide this now, come back shortly")

func (c *Controller) statusOf(job *storage.Job) protocol.JobState {
	s := protocol.JobState{ID: job.ID, Status: protocol.Queued, Done: job.DoneCount, Running: job.PlacedCount}
	switch {
	case !job.Open():
		s.Status, s.Running = job.Final, 0
	case job.DependencyFailed:
		s.Status = protocol.Cancelled
	case job.PlacedCount > 0:
		s.Status = protocol.Running
	default:
		s.UnmetDependencies = job.UnmetDependencies()
	}
	return s
}

// lookup finds a job's state; known is false when the cache has no such job.
func (c *Controller) lookup(ctx context.Context, id string) (st protocol.JobState, known, loaded bool, err error) {
	err = c.call(ctx, func() {
		loaded = c.follower.loaded
		if f, n := c.cache.FinalState(id); f != "" {
			st, known = protocol.JobState{ID: id, Status: f, Done: n}, true
		} else if j := c.cache.Job(id); j != nil {
			st, known = c.statusOf(j), true
		}
	})
	return st, known, loaded, err
}

// lookupLinearizable is look, with a barrier before anything but a final state: no
// user may get an older answer than another controller has given. What this controller slept
// over is as old: others may have given newer answers meanwhile.
func (c *Controller) lookupLinearizable(ctx context.Context, id string) (protocol.JobState, bool, error) {
	began := time.Now()
	state, known, loaded, err := c.lookup(ctx, id)
	if err != nil {
		return state, false, err
	}
	if known && state.Status.Final() {
		return state, true, nil
	}
	if !loaded {
		return state, false, protocol.ErrRefused
	}
	if err := c.Barrier(ctx); err != nil {
		return state, false, err
	}
	if state, known, _, err = c.lookup(ctx, id); err != nil || known && state.Status.Final() {
		return state, known, err
	}
	slept := false
	if err := c.call(ctx, func() { slept = c.reachability.stalledSince(began) }); err != nil {
		return state, false, err
	}
	if slept {
		return state, false, protocol.ErrRefused
	}
	return state, known, nil
}

// Query answers a poll.
func (c *Controller) Query(ctx context.Context, id string) Answer {
	if !protocol.ValidJobID(id) {
		return refuse(404, "no such job")
	}
	st, known, err := c.lookupLinearizable(ctx, id)
	switch {
	case err != nil:
		return errRetryLater
	case !known:
		return refuse(404, "no such job")
	}
	return Answer{Status: 200, Body: st}
}

// Submit answers a submission.
func (c *Controller) Submit(ctx context.Context, body []byte) Answer {
	submission, bad := protocol.ParseSubmission(body)
	if bad != nil {
		// A repeated id is answered with the job's state whatever body comes.
		if id := lenientJobID(body); id != "" {
			st, known, err := c.lookupLinearizable(ctx, id)
			if err != nil {
				return errRetryLater
			}
			if known {
				return Answer{Status: 200, Body: st}
			}
		}
		return refuse(400, bad.Error())
	}
	var known, ready, lacks bool
	var never string
	began := time.Now()
	err := c.call(ctx, func() {
		if f, _ := c.cache.FinalState(submission.ID); f != "" || c.cache.Job(submission.ID) != nil {
			known = true
			return
		}
		// Before the gate opens a controller of the version before would start it too early.
		ready = c.acceptsJobs() && (len(submission.Dependencies) == 0 || c.follower.loaded && c.cache.Packed())
		if ready {
			if never = c.unschedulableReason(submission); never == "" {
				never, lacks = c.invalidDependency(submission)
			}
		}
	})
	if err != nil {
		return errRetryLater
	}
	if !known && !ready {
		return errRetryLater
	}
	if !known && lacks {
		// Another controller may have accepted it a moment ago.
		err := c.Barrier(ctx)
		if err == nil {
			err = c.call(ctx, func() {
				never, lacks = c.invalidDependency(submission)
				ready = !c.reachability.stalledSince(began)
			})
		}
		if err != nil || !ready {
			return errRetryLater
		}
	}
	if known || never != "" {
		st, known, err := c.lookupLinearizable(ctx, submission.ID)
		switch {
		case err != nil:
			return errRetryLater
		case known:
			return Answer{Status: 200, Body: st}
		}
		return refuse(422, never)
	}
	rec := storage.JobRecord{Spec: storage.SpecOf(submission), SubmittedMs: time.Now().UnixMilli(), Tasks: submission.Tasks, Team: submission.Team,
		Dependencies: storage.PackIDs(submission.Dependencies)}
	txn := protocol.Txn{
		If:   []protocol.Condition{{Key: storage.JobKey(submission.ID)}},
		Then: []protocol.Change{{Put: storage.JobKey(submission.ID), Value: storage.Encode(rec)}},
	}
	if !c.storeChunks(ctx, submission.ID, &rec, &txn) {
		return errRetryLater
	}
	rev, failed, err := c.transact(ctx, txn, protocol.UserRequest)
	switch {
	case err != nil:
		c.log.Info("submission not committed", "job", submission.ID, "err", err)
		return errRetryLater
	case len(failed) > 0:
		st, known, err := c.lookupLinearizable(ctx, submission.ID)
		if err != nil || !known {
			return errRetryLater
		}
		return Answer{Status: 200, Body: st}
	}
	c.log.Info("job accepted", "job", submission.ID, "class", submission.Class, "team", submission.Team, "tasks", submission.Tasks, "cpus", submission.Cpus, "estimate", submission.EstimateS, "due", submission.DeadlineS)
	c.post(func() { c.applyTxn(txn, rev); c.changed() })
	return Answer{Status: 201, Body: protocol.JobState{ID: submission.ID, Status: protocol.Queued}}
}

// storeChunks writes the parts of a description that is too long for its job's record, and
// puts the record that names them into the transaction.
func (c *Controller) storeChunks(ctx context.Context, id string, rec *storage.JobRecord, txn *protocol.Txn) bool {
	limit, ops, try, packed := 0, 0, "", false
	if c.call(ctx, func() {
		limit, ops, packed = c.valueLimit(), c.limits().TxnOps, c.cache.Packed()
		c.gates.descriptionWrites++
		try = fmt.Sprintf("%d-%d", c.session.incarnation, c.gates.descriptionWrites)
	}) != nil {
		return false
	}
	if len(txn.Then[0].Value) <= limit {
		return true
	}
	if !packed || try[0] == '0' {
		return false // the version before does not read parts
	}
	parts, main := storage.SplitDescription(id, try, rec, limit)
	for len(parts) > 0 {
		n := min(ops, len(parts))
		p := protocol.Txn{Then: parts[:n]}
		rev, _, err := c.transact(ctx, p, protocol.UserRequest)
		if err != nil {
			return false // what was written is deleted later
		}
		c.post(func() { c.applyTxn(p, rev) })
		if parts = parts[n:]; len(parts) == 0 {
			txn.If = append(txn.If, protocol.Condition{Key: p.Then[n-1].Put, Version: rev})
		}
	}
	txn.Then[0].Value = main
	return true
}

// invalidDependency says why a job can't wait for what it names, "" if it can; lacks tells that
// it is because this controller knows no such job.
func (c *Controller) invalidDependency(submission *protocol.Submission) (why string, lacks bool) {
	for _, id := range submission.Dependencies {
		if f, _ := c.cache.FinalState(id); f != "" {
			continue
		}
		j := c.cache.Job(id)
		switch {
		case j == nil:
			return fmt.Sprintf("field awaits names %s, which was never accepted", id), true
		case j.Shape == protocol.Service:
			return fmt.Sprintf("field awaits names %s, which is a service and never done", id), false
		}
	}
	return "", false
}

func lenientJobID(body []byte) string {
	var m map[string]json.RawMessage
	var id string
	if json.Unmarshal(body, &m) != nil || json.Unmarshal(m["id"], &id) != nil || !protocol.ValidJobID(id) {
		return ""
	}
	return id
}

// unschedulableReason says why a job can never run, "" if it can.
func (c *Controller) unschedulableReason(submission *protocol.Submission) string {
	team := c.cache.TeamIndex.Find(submission.Team)
	if team < 0 {
		return fmt.Sprintf("unknown team %q", submission.Team)
	}
	zone := -1
	if submission.Zone != "" {
		if zone = c.cache.Zones.Find(submission.Zone); zone < 0 {
			return fmt.Sprintf("unknown zone %q", submission.Zone)
		}
	}
	fits := false
	for i, t := range c.cache.Types {
		if t.Cpus <= 0 || submission.Cpus > t.Cpus || submission.Gpus > t.Gpus || submission.MemGB > t.Mem {
			continue
		}
		if len(submission.Types) > 0 && !slices.Contains(submission.Types, c.cache.TypeIndex.Name(i)) {
			continue
		}
		if zone >= 0 && len(t.Zones) > 0 && !slices.Contains(t.Zones, zone) {
			continue
		}
		fits = true
	}
	if !fits {
		return "a task fits no allowed machine type"
	}
	n := 1
	if submission.Shape == protocol.Service {
		n = submission.Tasks
	}
	if !schedule.WithinLimit(c.cache.Teams[team], storage.Usage{}, &storage.Job{Cpus: submission.Cpus, Gpus: submission.Gpus}, n) {
		return "the job needs more than the team's limit"
	}
	return ""
}

// Cancel answers a cancellation. The final state is one compare-and-set, so a
// job is never both done and cancelled.
func (c *Controller) Cancel(ctx context.Context, id string) Answer {
	if !protocol.ValidJobID(id) {
		return refuse(404, "no such job")
	}
	for range 8 {
		state, known, loaded, err := c.lookup(ctx, id)
		switch {
		case err != nil || !loaded:
			return errRetryLater
		case known && state.Status.Final():
			return Answer{Status: 200, Body: state}
		case !known:
			if state, known, err = c.lookupLinearizable(ctx, id); err != nil {
				return errRetryLater
			} else if !known {
				return refuse(404, "no such job")
			} else if state.Status.Final() {
				return Answer{Status: 200, Body: state}
			}
		}
		var txn protocol.Txn
		err = c.call(ctx, func() {
			if j := c.cache.Job(id); j != nil && j.Open() {
				key := storage.JobKey(id)
				rec := c.finalRecord(j, progress{j.Done, j.DoneCount}, protocol.Cancelled)
				txn = protocol.Txn{
					If:   []protocol.Condition{{Key: key, Version: j.Version}},
					Then: []protocol.Change{{Put: key, Value: storage.Encode(rec)}},
				}
			}
		})
		if err != nil {
			return errRetryLater
		}
		if len(txn.Then) == 0 {
			continue
		}
		rev, failed, err := c.transact(ctx, txn, protocol.UserRequest)
		if err != nil {
			if !errors.Is(err, protocol.ErrRefused) {
				c.log.Info("cancellation in doubt", "job", id, "err", err)
			}
			return errRetryLater
		}
		if len(failed) == 0 {
			if err := c.call(ctx, func() { c.applyTxn(txn, rev); c.changed() }); err != nil {
				return errRetryLater
			}
			continue
		}
		if err := c.Barrier(ctx); err != nil {
			return errRetryLater
		}
	}
	return errRetryLater
}

// acceptsJobs tells whether this controller can accept a job that awaits no other. That takes the
// machine types, and that the records are of a layout that it reads; whether the id is free
// is a condition of the commit. So the gate and the catalog are read first, and after an end of
// all controllers submissions need not wait until each has read every record. Once teams may have been changed it has to
// have read those, too: it would accept by the settings file what can never run.
func (c *Controller) acceptsJobs() bool {
	return c.cache.HasCatalog() && (c.follower.loaded || c.cache.Packed() && !c.cache.TeamChangesEnabled() && !c.follower.foreignLayout)
}

// Ready tells whether this controller can take requests. In an outage of the state service all
// controllers stay ready, those that began in it too: they refuse at once, and accept the moment it ends.
func (c *Controller) Ready(ctx context.Context) bool {
	ok := false
	err := c.call(ctx, func() {
		now := time.Now()
		waits := !c.follower.foreignLayout && c.follower.loadFailed && c.cache.HasCatalog() && now.Sub(c.cancellations.unverified.since) > peerFresh
		ok = (c.acceptsJobs() || waits) && !c.isolatedFromStore(now)
	})
	return err == nil && ok
}
