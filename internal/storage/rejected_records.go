package storage

// rejectedRecords holds the records whose latest change the cache rejected. Mostly such a change is accepted
// when the watch delivers it again. As long as it is not, the cache holds an older version of the record,
// or none: a transaction that replaces the record would fail, and its contents are unknown.
type rejectedRecords struct {
	byKey map[string]rejectedRecord
}

// rejectedRecord is what is known of a rejected record.
type rejectedRecord struct {
	revision uint64
	// jobs are the ids of the jobs whose tasks a machine group's record lists; nil: it cannot be decoded, or is
	// no machine group's record.
	jobs    map[string]bool
	isGroup bool
}

func newRejectedRecords() *rejectedRecords {
	return &rejectedRecords{map[string]rejectedRecord{}}
}

// note updates the rejected records after a change was accepted (err is nil) or rejected.
func (r *rejectedRecords) note(key string, change recordChange, err error) {
	if err == nil {
		if r.byKey[key].revision <= change.revision {
			delete(r.byKey, key)
		}
		return
	}
	if r.byKey[key].revision > change.revision {
		return
	}
	rejected := rejectedRecord{revision: change.revision}
	if _, rejected.isGroup = keySuffix(key, groupPrefix); rejected.isGroup {
		rejected.jobs = listedJobs(change)
	}
	r.byKey[key] = rejected
}

// listedJobs returns the ids of the jobs whose tasks a machine group's record lists; nil if it cannot be
// decoded.
func listedJobs(change recordChange) map[string]bool {
	record, err := DecodeGroup(change.value)
	if err != nil {
		return nil
	}
	jobs := map[string]bool{}
	for _, machine := range record.Machines {
		for _, placed := range machine.Tasks {
			jobs[placed.Job] = true
		}
	}
	return jobs
}

// dropUnseen removes the rejected records up to a revision whose keys are not in seen.
func (r *rejectedRecords) dropUnseen(seen map[string]bool, upTo uint64) {
	for key, rejected := range r.byKey {
		if rejected.revision <= upTo && !seen[key] {
			delete(r.byKey, key)
		}
	}
}

// RejectedRecords returns the number of records whose latest change was rejected.
func (c *Cache) RejectedRecords() int { return len(c.rejected.byKey) }

// RecordRejected reports whether the latest change of a record was rejected.
func (c *Cache) RecordRejected(key string) bool {
	_, ok := c.rejected.byKey[key]
	return ok
}

// GroupRejected reports whether the latest change of a machine group's record was rejected.
func (c *Cache) GroupRejected(group *MachineGroup) bool {
	return len(c.rejected.byKey) > 0 && c.RecordRejected(GroupKey(group.ID))
}

// PlacementUnknown reports whether tasks of a job may be placed without the cache showing it, because the
// record of their machine group was rejected.
func (c *Cache) PlacementUnknown(job *Job) bool {
	for _, rejected := range c.rejected.byKey {
		if rejected.isGroup && (rejected.jobs == nil || rejected.jobs[job.ID]) {
			return true
		}
	}
	return false
}
