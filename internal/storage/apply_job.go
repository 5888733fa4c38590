package storage

import (
	"fmt"
	"time"

	"dykeledge/internal/protocol"
)

// applyJob applies a change of a job's record.
func (c *Cache) applyJob(id string, change recordChange) error {
	if c.undescribed.contains(id) {
		return c.describeLate(id, change)
	}
	if c.jobs.isPruned(id) {
		return nil // final states never change
	}
	job := c.jobs.find(id)
	if job != nil && job.Version >= change.revision {
		return nil
	}
	if change.deleted {
		return fmt.Errorf("%w: a job", ErrUnexpectedDeletion)
	}
	record, err := decodeJSON[JobRecord](change.value)
	if err != nil {
		return err
	}
	// A final record without a description is written only once none of the job's tasks is placed. While
	// tasks are placed, machine group records refer to the job, and would be rejected without it.
	if record.Final != "" && !record.hasDescription() && (job == nil || job.PlacedCount == 0) {
		c.pruneJob(id, job, record.finalState())
		return nil
	}
	if job == nil {
		if job, err = c.addJob(id, &record, change.revision); job == nil {
			return err
		}
	}
	return c.updateJob(job, &record, change.revision)
}

// finalState returns the final state in the record.
func (r *JobRecord) finalState() FinalState {
	return FinalState{protocol.JobStatus(r.Final), int32(r.DoneCount), r.FinalAtMs}
}

// hasDescription reports whether the record holds the job's description or names its chunks.
func (r *JobRecord) hasDescription() bool { return r.Spec != nil || r.ChunkCount > 0 }

// addJob adds a job that is not in the cache, with its description. For a final job whose description
// is missing it keeps only the final record and returns a nil job without an error.
func (c *Cache) addJob(id string, record *JobRecord, revision uint64) (*Job, error) {
	if record.ChunkCount > 0 {
		err := c.descriptions.join(id, record)
		if err != nil && record.Final != "" {
			// The chunks of a final job are deleted once none of its tasks is placed.
			c.pruneJob(id, nil, record.finalState())
			c.undescribed.add(id, record, revision)
			return nil, nil
		}
		if err != nil {
			return nil, err
		}
	}
	job, err := c.newJob(id, record)
	if err != nil {
		return nil, err
	}
	c.insertJob(job)
	if record.Final == "" {
		c.countArrival(job)
		c.dependencies.addJob(job)
	}
	c.dependencies.dependencyAdded(id)
	return job, nil
}

// insertJob adds a job to the cache's indices, with the completed tasks of its completion sets.
func (c *Cache) insertJob(job *Job) {
	c.Jobs = c.jobs.add(job, c.Jobs)
	c.imageSizes.record(job)
	c.sorted.addJob(job)
	for part, set := range c.completions.parts(job.ID) {
		job.mergeCompletionSet(part, set.tasks)
	}
}

// newJob creates a job from its record.
func (c *Cache) newJob(id string, record *JobRecord) (*Job, error) {
	team := c.TeamIndex.Find(record.Team)
	if team < 0 {
		return nil, fmt.Errorf("%w: team %q", ErrUnknownReference, record.Team)
	}
	submitted := time.UnixMilli(record.SubmittedMs)
	job := &Job{
		ID:         id,
		Team:       team,
		Shard:      c.ShardOf(team),
		Tasks:      record.Tasks,
		Submitted:  submitted,
		ReadyAt:    submitted,
		ChunkSet:   record.ChunkSet,
		chunkCount: record.ChunkCount,
	}
	job.initTasks()
	return job, c.describe(job, record)
}

// describe sets the fields of a job that its description holds, and assigns indices to new class, image,
// type and zone names.
func (c *Cache) describe(job *Job, record *JobRecord) error {
	spec := record.Spec
	if spec == nil {
		return fmt.Errorf("%w: job record has no description", ErrCorrupt)
	}
	dependencies, err := unpackIDs(record.Dependencies)
	if err != nil {
		return fmt.Errorf("job dependencies: %w", err)
	}
	job.Spec, job.Dependencies = spec, dependencies
	job.Class, job.Image = c.Classes.Index(spec.Class), c.Images.Index(spec.Image)
	job.Shape = protocol.Shape(spec.Shape)
	job.OwnPriority = min(protocol.Priority(spec.Priority), protocol.Production)
	job.Priority = job.OwnPriority
	job.Cpus, job.Gpus, job.Mem, job.ImageGB = spec.Cpus, spec.Gpus, spec.Mem, spec.ImageGB
	job.OneZone, job.Spread, job.Spot = spec.OneZone, spec.Spread, spec.Spot
	job.Estimate = spec.Estimate
	job.CheckpointInterval, job.CheckpointCost = spec.CheckpointInterval, spec.CheckpointCost
	job.Deadline = time.Duration(spec.Deadline * float64(time.Second))
	c.setPlacementLimits(job)
	return nil
}

// initTasks initializes the state of a new job's tasks: none is placed or completed.
func (j *Job) initTasks() {
	j.MachineOf = make([]int32, j.Tasks)
	for task := range j.MachineOf {
		j.MachineOf[task] = NotPlaced
	}
	j.AttemptOf = make([]uint64, j.Tasks)
	j.Done, j.SavedDone = NewBitmap(j.Tasks), NewBitmap(j.Tasks)
}

// setPlacementLimits sets the machine types and the zone in which the tasks of a new job may run, and
// the task size that follows from the types.
func (c *Cache) setPlacementLimits(job *Job) {
	job.Types = nil
	for _, name := range job.Spec.Types {
		job.Types = append(job.Types, c.TypeIndex.Index(name))
	}
	c.growTypes()
	job.Zone = anyZone
	if job.Spec.Zone != "" {
		job.Zone = c.Zones.Index(job.Spec.Zone)
	}
	job.TaskSize = c.sizeOf(job)
}

// updateJob updates the fields of a job that may change after its submission.
func (c *Cache) updateJob(job *Job, record *JobRecord, revision uint64) error {
	// The record of a done job has no bitmap; tasks that are marked as completed stay so.
	if record.Final != string(protocol.Done) {
		saved, err := decodeBitmap(record.Done, record.Tasks)
		if err != nil {
			return err
		}
		job.SavedDone = saved
		job.Done.Merge(saved)
	}
	job.DoneCount = max(record.DoneCount, job.Done.Count())
	job.Final = protocol.JobStatus(record.Final)
	job.Suspect = job.Suspect || record.Suspect
	job.Version = revision
	job.FinalAtMs = record.FinalAtMs
	c.feed.addJob(job)
	if !job.Open() {
		c.jobs.addEnded(job)
		c.dependencies.jobEnded(job.ID, job.finalState())
	}
	return nil
}

// pruneJob removes a job from the cache except for its final state. job is nil if it was not in the
// cache.
func (c *Cache) pruneJob(id string, job *Job, state FinalState) {
	c.jobs.setPruned(id, state)
	c.dependencies.jobEnded(id, state)
	if job == nil {
		return
	}
	job.Final = state.Status // groups may still refer to the job
	job.DoneCount, job.FinalAtMs = max(job.DoneCount, int(state.Tasks)), state.RecordedMs
	c.feed.addJob(job)
	c.dependencies.pruneJob(job)
	c.sorted.removeJob(job)
	c.jobs.remove(job, c.Jobs)
}

// PruneFinalJobs prunes final jobs that have no placed task; only their final states are kept. A
// cancelled job stays while any of its tasks is placed, because those still use resources and count
// towards its team's limit. A job also stays until the watch has reached the revision of its final
// record: the controller that cancelled it may still receive older machine group records that name the
// job, and could not resolve them. For the same reason no job is pruned while the cache is inconsistent.
func (c *Cache) PruneFinalJobs() {
	if !c.Consistent() {
		return
	}
	c.undescribed.clear()
	for _, job := range c.Jobs {
		if job != nil && !job.Open() && job.PlacedCount == 0 && job.Version <= c.Revision && !c.PlacementUnknown(job) {
			c.pruneJob(job.ID, job, job.finalState())
		}
	}
}

// JobRecordOf returns a job's record with the given set and number of completed tasks and the given
// final state ("" while open).
func (c *Cache) JobRecordOf(job *Job, done Bitmap, doneCount int, final protocol.JobStatus) *JobRecord {
	record := &JobRecord{Tasks: job.Tasks, DoneCount: doneCount, Final: string(final), Team: c.Teams[job.Team].Name}
	if final == protocol.Done || job.DependencyFailed && job.PlacedCount == 0 {
		return record
	}
	record.Spec, record.SubmittedMs, record.Suspect = job.Spec, job.Submitted.UnixMilli(), job.Suspect
	if final == "" || !c.Packed() {
		// In the packed layout an open job's record is rewritten only while none of its tasks has
		// completed. A large bitmap would exceed the record size limit, so it is stored in separate
		// completion records.
		record.Done = done.encode()
	}
	if final == "" {
		record.Dependencies = PackIDs(job.Dependencies)
	}
	if job.ChunkSet != "" {
		record.Spec, record.Dependencies, record.ChunkSet, record.ChunkCount = nil, "", job.ChunkSet, job.chunkCount
	}
	return record
}
