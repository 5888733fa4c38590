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

// answerInvalidSubmission answers a submission that can't be read. A repeated id is answered with the job's
// state whatever body comes.
func (c *Controller) answerInvalidSubmission(ctx context.Context, body []byte, parseErr error) Answer {
	refusal := errorAnswer(http.StatusBadRequest, parseErr.Error())
	id := lenientJobID(body)
	if id == "" {
		return refusal
	}
	return c.answerExistingJobOr(ctx, id, refusal)
}

// answerExistingJobOr answers with a job's state if there is such a job, with otherwise if there is none.
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

// lenientJobID is the id in a submission that can't be read as a whole, "" if it can't be found.
func lenientJobID(body []byte) string {
	var fields map[string]json.RawMessage
	var id string
	if json.Unmarshal(body, &fields) != nil || json.Unmarshal(fields["id"], &id) != nil || !protocol.ValidJobID(id) {
		return ""
	}
	return id
}

// submissionCheck is the result of checking a submission before it is committed.
type submissionCheck struct {
	exists            bool   // there is such a job already
	decidable         bool   // this controller can decide on it now
	refusal           string // why the job can never run; "": it can
	missingDependency bool   // the refusal is that this controller knows no such job as it awaits
}

// checkSubmission reports whether a submission can be accepted; the error means that it can't be decided now.
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
		// Another controller may have accepted it a moment ago.
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

// checkInCache checks a submission against what the cache holds.
func (c *Controller) checkInCache(submission *protocol.Submission) submissionCheck {
	if final, _ := c.cache.FinalState(submission.ID); final != "" || c.cache.Job(submission.ID) != nil {
		return submissionCheck{exists: true}
	}
	// Before the gate opens a controller of the version before would start a job with dependencies too early.
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

// commitSubmission commits an accepted job's record, if no other controller has committed one with its id.
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
		c.log.Info("submission not committed", "job", submission.ID, "err", err)
		return retryLater
	case len(failed) > 0:
		return c.answerExistingJobOr(ctx, submission.ID, retryLater)
	}
	c.log.Info("job accepted", "job", submission.ID, "class", submission.Class, "team", submission.Team, "tasks", submission.Tasks,
		"cpus", submission.Cpus, "estimate_s", submission.EstimateS, "deadline_s", submission.DeadlineS)
	c.post(func() { c.applyTxn(txn, revision); c.changed() })
	return Answer{Status: http.StatusCreated, Body: protocol.JobState{ID: submission.ID, Status: protocol.Queued}}
}

// chunking is how a description that is too large for its job's record may be written.
type chunking struct {
	valueLimit int    // bytes of a record
	txnChanges int    // changes in a transaction
	packed     bool   // every controller reads chunks
	member     uint64 // this controller's incarnation; 0: it is no member yet
	sequence   uint64 // which of its descriptions it is
}

// id sets the chunks of each attempt to write a description apart.
func (k chunking) id() string { return fmt.Sprintf("%d-%d", k.member, k.sequence) }

// allowed reports whether chunks may be written: the version before does not read them, and a
// controller without an incarnation could not set its own apart.
func (k chunking) allowed() bool { return k.packed && k.member != 0 }

// nextChunking is how the next description may be written.
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

// storeChunks writes the chunks of a description that is too large for its job's record, and
// puts the record that names them into the transaction.
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
			return false // what was written is deleted later
		}
		c.post(func() { c.applyTxn(chunkTxn, revision) })
		if chunks = chunks[count:]; len(chunks) == 0 {
			txn.If = append(txn.If, protocol.Condition{Key: chunkTxn.Then[count-1].Put, Version: revision})
		}
	}
	txn.Then[0].Value = mainRecord
	return true
}
