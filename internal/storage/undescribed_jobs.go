package storage

import "fmt"

// undescribedJobs holds the final records of jobs with a chunked description whose chunks were not in the
// cache when the record was read. Mostly the chunks are deleted, since no task of the job is placed any
// more. But chunks may also be read after the record: the pages of a full read are of different
// revisions, and a job may be accepted, placed and cancelled between two of them. And an earlier
// version of this program deleted the chunks of cancelled jobs with placed tasks. So a job is restored
// if a machine group's record refers to it.
type undescribedJobs struct {
	records map[string]undescribedJob // by job id
}

// undescribedJob is a final record without its description.
type undescribedJob struct {
	record   JobRecord
	revision uint64
	restored *Job // nil until a machine group's record refers to the job
}

func newUndescribedJobs() *undescribedJobs {
	return &undescribedJobs{map[string]undescribedJob{}}
}

func (u *undescribedJobs) contains(id string) bool {
	_, ok := u.records[id]
	return ok
}

func (u *undescribedJobs) add(id string, record *JobRecord, revision uint64) {
	u.records[id] = undescribedJob{record: *record, revision: revision}
}

// clear forgets all records. It may be called once the cache is consistent: no group's record that is
// read later refers to a job without a placed task.
func (u *undescribedJobs) clear() { clear(u.records) }

// restoreUndescribed adds an undescribed job to the cache, so that its tasks can be terminated and removed
// from their machines on proof. Until its description is read, its tasks count as using no resources. It
// returns nil if there is no such job.
func (c *Cache) restoreUndescribed(id string) *Job {
	entry, ok := c.undescribed.records[id]
	if !ok {
		return nil
	}
	record := entry.record
	record.Spec = &SpecRecord{}
	job, err := c.newJob(id, &record)
	if err != nil {
		return nil
	}
	c.jobs.restore(id)
	c.insertJob(job)
	if c.updateJob(job, &record, entry.revision) != nil {
		return nil
	}
	entry.restored = job
	c.undescribed.records[id] = entry
	return job
}

// describeLate applies a change of an undescribed job's record. If it is the final record, read once more
// after the chunks, the job gets its description.
func (c *Cache) describeLate(id string, change recordChange) error {
	if change.deleted {
		return fmt.Errorf("%w: a job", ErrUnexpectedDeletion)
	}
	record, err := decodeJSON[JobRecord](change.value)
	if err != nil || record.Final == "" {
		return err // a record from before the final one
	}
	job := c.undescribed.records[id].restored
	if job == nil {
		delete(c.undescribed.records, id)
		c.jobs.restore(id)
		return c.applyJob(id, change)
	}
	if c.descriptions.join(id, &record) != nil {
		return nil
	}
	delete(c.undescribed.records, id)
	placed := float64(job.PlacedCount)
	c.TeamUsage[job.Team].Add(job, -placed)
	err = c.describe(job, &record)
	c.TeamUsage[job.Team].Add(job, placed)
	return err
}
