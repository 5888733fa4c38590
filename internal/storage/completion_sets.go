package storage

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
	"time"

	"dykeledge/internal/protocol"
)

// bytesPerCompletionSet is how many bytes of a job's Bitmap one part covers.
const bytesPerCompletionSet = tasksPerCompletionSet / 8

// completionSet is a part of the set of a job's completed tasks.
type completionSet struct {
	tasks    Bitmap
	revision uint64
}

// completionSets are the parts of all jobs' sets of completed tasks. Parts stay until the job
// is over; then its shard's owner deletes them.
type completionSets struct {
	byJob map[string]map[int]completionSet // by id and part
}

func newCompletionSets() *completionSets {
	return &completionSets{map[string]map[int]completionSet{}}
}

// parts returns a job's sets by part.
func (s *completionSets) parts(job string) map[int]completionSet { return s.byJob[job] }

// revision is that of a part's record; 0 if there is none.
func (s *completionSets) revision(job string, part int) uint64 { return s.byJob[job][part].revision }

func (s *completionSets) put(job string, part int, set completionSet) {
	if s.byJob[job] == nil {
		s.byJob[job] = map[int]completionSet{}
	}
	s.byJob[job][part] = set
}

func (s *completionSets) remove(job string, part int) {
	if delete(s.byJob[job], part); len(s.byJob[job]) == 0 {
		delete(s.byJob, job)
	}
}

// staleRecords returns the records of jobs that are over.
func (s *completionSets) staleRecords(jobs *jobTable) []protocol.Condition {
	var records []protocol.Condition
	for id, sets := range s.byJob {
		if _, over := jobs.recordedFinalState(id); !over {
			continue
		}
		for part, set := range sets {
			records = append(records, protocol.Condition{Key: CompletionKey(id, part*tasksPerCompletionSet), Version: set.revision})
		}
	}
	return records
}

// dropUnseen forgets the parts whose keys are not among those seen.
func (s *completionSets) dropUnseen(seen map[string]bool) {
	for id, sets := range s.byJob {
		for part := range sets {
			if !seen[CompletionKey(id, part*tasksPerCompletionSet)] {
				delete(sets, part)
			}
		}
	}
}

// applyCompletions takes a part of the set of a job's completed tasks; name is the job's id, a
// slash and the part's number.
func (c *Cache) applyCompletions(name string, change recordChange) error {
	id, number, _ := strings.Cut(name, "/")
	part, err := strconv.Atoi(number)
	if err != nil || part < 0 || part > protocol.MaxTasks/tasksPerCompletionSet {
		return fmt.Errorf("%w: no such completion set", ErrInvalidKey)
	}
	if c.completions.revision(id, part) >= change.revision {
		return nil
	}
	if change.deleted {
		c.completions.remove(id, part)
		return nil
	}
	record, err := decodeJSON[CompletionRecord](change.value)
	if err != nil {
		return err
	}
	tasks, err := base64.RawStdEncoding.DecodeString(record.Done)
	if err != nil {
		return wrapCorrupt(err)
	}
	if len(tasks) > bytesPerCompletionSet {
		return fmt.Errorf("%w: a set of over %d tasks", ErrCorrupt, tasksPerCompletionSet)
	}
	c.completions.put(id, part, completionSet{tasks, change.revision})
	if job := c.jobs.find(id); job != nil {
		job.mergeCompletionSet(part, tasks)
		c.feed.addJob(job)
	}
	return nil
}

// CompletionRecordOf writes the part of a job's set that holds a task, with the version that it
// replaces; 0: none.
func (c *Cache) CompletionRecordOf(job *Job, done Bitmap, task int) (CompletionRecord, uint64) {
	part := task / tasksPerCompletionSet
	from := part * bytesPerCompletionSet
	tasks := done[from:min(len(done), from+bytesPerCompletionSet)]
	return CompletionRecord{base64.RawStdEncoding.EncodeToString(tasks)}, c.completions.revision(job.ID, part)
}

// StaleRecords returns up to limit records that are needed no more, with their versions:
// completion sets of jobs that are over, and chunks of descriptions that were abandoned or whose
// jobs are over.
func (c *Cache) StaleRecords(limit int, now time.Time) []protocol.Condition {
	stale := c.completions.staleRecords(c.jobs)
	if len(stale) < limit {
		stale = append(stale, c.descriptions.staleRecords(c.jobs, limit-len(stale), now)...)
	}
	return stale[:min(len(stale), limit)]
}
