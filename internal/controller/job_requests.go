package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// Submit answers a submission.
func (c *Controller) Submit(ctx context.Context, body []byte) Answer {
	submission, err := protocol.ParseSubmission(body)
	if err != nil {
		return c.answerInvalidSubmission(ctx, body, err)
	}
	check, err := c.checkSubmission(ctx, submission)
	if err != nil {
		return retryLater
	}
	if check.exists || check.refusal != "" {
		return c.answerExistingJobOr(ctx, submission.ID, errorAnswer(http.StatusUnprocessableEntity, check.refusal))
	}
	return c.commitSubmission(ctx, submission)
}

// answerInvalidSubmission answers a submission that cannot be parsed. If a job with its id exists, the answer
// is the state of that job, whatever the body holds.
func (c *Controller) answerInvalidSubmission(ctx context.Context, body []byte, parseErr error) Answer {
	refusal := errorAnswer(http.StatusBadRequest, parseErr.Error())
	id := extractJobID(body)
	if id == "" {
		return refusal
	}
	return c.answerExistingJobOr(ctx, id, refusal)
}

// answerExistingJobOr answers with the state of a job if it exists, else with fallback.
func (c *Controller) answerExistingJobOr(ctx context.Context, id string, fallback Answer) Answer {
	found, err := c.lookupLinearizable(ctx, id)
	switch {
	case err != nil:
		return retryLater
	case found.known:
		return jobStateAnswer(found.state)
	}
	return fallback
}

// extractJobID extracts the id from a submission that cannot be parsed as a whole; "" if there is no valid
// id.
func extractJobID(body []byte) string {
	var fields map[string]json.RawMessage
	var id string
	if json.Unmarshal(body, &fields) != nil || json.Unmarshal(fields["id"], &id) != nil || !protocol.ValidJobID(id) {
		return ""
	}
	return id
}

// submissionCheck is the result of checking a submission before it is committed.
type submissionCheck struct {
	exists            bool   // a job with this id exists
	decidable         bool   // this controller can decide on the submission now
	refusal           string // why the job could never run; "": it could
	missingDependency bool   // the refusal is that this controller has no record of a dependency
}

// checkSubmission checks whether a submission can be accepted. An error means that this cannot be decided
// now.
func (c *Controller) checkSubmission(ctx context.Context, submission *protocol.Submission) (submissionCheck, error) {
	startedAt := time.Now()
	var check submissionCheck
	if err := c.call(ctx, func() { check = c.checkInCache(submission) }); err != nil {
		return check, err
	}
	if check.exists {
		return check, nil
	}
	if check.decidable && check.missingDependency {
		// Another controller may have accepted the dependency a moment ago.
		if err := c.Barrier(ctx); err != nil {
			return check, err
		}
		err := c.call(ctx, func() {
			check.refusal, check.missingDependency = c.invalidDependency(submission)
			check.decidable = !c.reachability.stalledSince(startedAt)
		})
		if err != nil {
			return check, err
		}
	}
	if !check.decidable {
		return check, protocol.ErrRefused
	}
	return check, nil
}

// checkInCache checks a submission against the cache.
func (c *Controller) checkInCache(submission *protocol.Submission) submissionCheck {
	if final, _ := c.cache.FinalState(submission.ID); final != "" || c.cache.Job(submission.ID) != nil {
		return submissionCheck{exists: true}
	}
	// Before the layout gate opens, a controller of the previous version would start a job before its
	// dependencies are done.
	acceptsDependencies := c.follower.loaded && c.cache.Packed()
	if !c.acceptsJobs() || len(submission.Dependencies) > 0 && !acceptsDependencies {
		return submissionCheck{}
	}
	check := submissionCheck{decidable: true, refusal: c.unschedulableReason(submission)}
	if check.refusal == "" {
		check.refusal, check.missingDependency = c.invalidDependency(submission)
	}
	return check
}

// commitSubmission commits the record of a new job, on condition that no record with its id exists.
func (c *Controller) commitSubmission(ctx context.Context, submission *protocol.Submission) Answer {
	key := storage.JobKey(submission.ID)
	record := storage.JobRecord{
		Spec:         storage.SpecOf(submission),
		SubmittedMs:  time.Now().UnixMilli(),
		Tasks:        submission.Tasks,
		Team:         submission.Team,
		Dependencies: storage.PackIDs(submission.Dependencies),
	}
	txn := protocol.Txn{
		If:   []protocol.Condition{{Key: key}},
		Then: []protocol.Change{{Put: key, Value: storage.Encode(record)}},
	}
	if !c.storeChunks(ctx, submission.ID, &record, &txn) {
		return retryLater
	}
	revision, failed, err := c.transact(ctx, txn, protocol.UserRequest)
	switch {
	case err != nil:
		c.log.Info("commit of the submission failed", "job", submission.ID, "err", err)
		return retryLater
	case len(failed) > 0:
		return c.answerExistingJobOr(ctx, submission.ID, retryLater)
	}
	c.log.Info("job accepted", "job", submission.ID, "class", submission.Class, "team", submission.Team, "tasks", submission.Tasks,
		"cpus", submission.Cpus, "estimate_s", submission.EstimateS, "deadline_s", submission.DeadlineS)
	c.post(func() { c.applyTxn(txn, revision); c.onRecordsChanged() })
	return Answer{Status: http.StatusCreated, Body: protocol.JobState{ID: submission.ID, Status: protocol.Queued}}
}

// chunking holds the limits and the identity of one write of a description that may be too large for a job's
// record.
type chunking struct {
	valueLimit int    // maximum size of a record in bytes
	txnChanges int    // maximum number of changes in a transaction
	packed     bool   // every controller reads chunks
	member     uint64 // this controller's incarnation; 0: it is not a member yet
	sequence   uint64 // sequence number of the description among those of this process
}

// id returns a name that is unique to this attempt to write a description; its chunks are stored under it.
func (k chunking) id() string { return fmt.Sprintf("%d-%d", k.member, k.sequence) }

// allowed reports whether chunks may be written: the previous version does not read them, and the chunks of a
// controller without an incarnation would have no unique id.
func (k chunking) allowed() bool { return k.packed && k.member != 0 }

// nextChunking returns the limits and the identity for the next write of a description.
func (c *Controller) nextChunking() chunking {
	c.gates.descriptionWrites++
	return chunking{
		valueLimit: c.valueLimit(),
		txnChanges: c.limits().TxnOps,
		packed:     c.cache.Packed(),
		member:     c.session.incarnation,
		sequence:   c.gates.descriptionWrites,
	}
}

// storeChunks writes the chunks of a description that is too large for its job's record, and puts the record
// that refers to them into txn. It reports whether txn can be committed.
func (c *Controller) storeChunks(ctx context.Context, id string, record *storage.JobRecord, txn *protocol.Txn) bool {
	var chunkPlan chunking
	if c.call(ctx, func() { chunkPlan = c.nextChunking() }) != nil {
		return false
	}
	if len(txn.Then[0].Value) <= chunkPlan.valueLimit {
		return true
	}
	if !chunkPlan.allowed() {
		return false
	}
	chunks, mainRecord := storage.SplitDescription(id, chunkPlan.id(), record, chunkPlan.valueLimit)
	for len(chunks) > 0 {
		count := min(chunkPlan.txnChanges, len(chunks))
		chunkTxn := protocol.Txn{Then: chunks[:count]}
		revision, _, err := c.transact(ctx, chunkTxn, protocol.UserRequest)
		if err != nil {
			return false // chunks that were written are deleted later
		}
		c.post(func() { c.applyTxn(chunkTxn, revision) })
		if chunks = chunks[count:]; len(chunks) == 0 {
			txn.If = append(txn.If, protocol.Condition{Key: chunkTxn.Then[count-1].Put, Version: revision})
		}
	}
	txn.Then[0].Value = mainRecord
	return true
}
