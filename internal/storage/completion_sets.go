package storage

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
	"time"

	"dykeledge/internal/protocol"
)

// bytesPerCompletionSet is the number of bytes of a job's Bitmap that one completion set covers.
const bytesPerCompletionSet = tasksPerCompletionSet / 8

// completionSet is one part of the bitmap of a job's completed tasks.
type completionSet struct {
	tasks    Bitmap
	revision uint64
}

// completionSets holds the completion sets of all jobs. Their records stay until the job is final;
// then the leader deletes them.
type completionSets struct {
	byJob map[string]map[int]completionSet // by job id and part number
}

func newCompletionSets() *completionSets {
	return &completionSets{map[string]map[int]completionSet{}}
}

// parts returns a job's completion sets by part number.
func (s *completionSets) parts(job string) map[int]completionSet { return s.byJob[job] }

// revision returns the revision of a part's record; 0 if there is none.
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

// stale returns the completion records of final jobs.
func (s *completionSets) stale(jobs *jobTable) []protocol.Condition {
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

// dropUnseen removes the parts up to a revision whose keys are not in seen.
func (s *completionSets) dropUnseen(seen map[string]bool, upTo uint64) {
	for id, sets := range s.byJob {
		for part, set := range sets {
			if set.revision <= upTo && !seen[CompletionKey(id, part*tasksPerCompletionSet)] {
				delete(sets, part)
			}
		}
	}
}

// applyCompletions applies a change of a completion record; name is "<job id>/<part number>".
func (c *Cache) applyCompletions(name string, change recordChange) error {
	id, number, _ := strings.Cut(name, "/")
	part, err := strconv.Atoi(number)
	if err != nil || part < 0 || part > protocol.MaxTasks/tasksPerCompletionSet {
		return fmt.Errorf("%w: completion set number missing or out of range", ErrInvalidKey)
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
		return fmt.Errorf("%w: completion set has more than %d tasks", ErrCorrupt, tasksPerCompletionSet)
	}
	c.completions.put(id, part, completionSet{tasks, change.revision})
	if job := c.jobs.find(id); job != nil {
		job.mergeCompletionSet(part, tasks)
		c.feed.addJob(job)
	}
	return nil
}

// CompletionRecordOf returns the record of the completion set that contains a task, and the version
// of the record that it replaces; 0 if there is none.
func (c *Cache) CompletionRecordOf(job *Job, done Bitmap, task int) (CompletionRecord, uint64) {
	part := task / tasksPerCompletionSet
	from := part * bytesPerCompletionSet
	tasks := done[from:min(len(done), from+bytesPerCompletionSet)]
	return CompletionRecord{base64.RawStdEncoding.EncodeToString(tasks)}, c.completions.revision(job.ID, part)
}

// StaleRecords returns up to limit records that are no longer needed, with their versions: completion
// sets of final jobs, and description chunks of final jobs and of lost or abandoned attempts to
// accept a job.
func (c *Cache) StaleRecords(limit int, now time.Time) []protocol.Condition {
	stale := c.completions.stale(c.jobs)
	if len(stale) < limit {
		stale = append(stale, c.descriptions.stale(c.jobs, limit-len(stale), now)...)
	}
	return stale[:min(len(stale), limit)]
}
