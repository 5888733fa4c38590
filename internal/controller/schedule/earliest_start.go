package schedule

import (
	"slices"

	"dykeledge/internal/storage"
)

// This file finds where a task starts soonest. It estimates image fetches, and decides whether a task waits
// for a booting machine or for preempted capacity instead of using free capacity.

const (
	// preemptionSeconds is the approximate time from a preemption until its capacity is free: a record is
	// written, the tasks are stopped, the workers' heartbeats arrive, and another record is written.
	preemptionSeconds = 4
	// minStartGainS is how many seconds sooner a task must start on preempted capacity or a booting
	// machine for free capacity to be left unused. Avoiding a short fetch is not worth the work that a
	// preemption loses.
	minStartGainS = 12
	// sharedFetchGainFraction is the fraction of an image's fetch time by which waiting for a fetch in
	// progress is preferred over starting another one that takes as long: each machine fetches an image
	// only once.
	sharedFetchGainFraction = 0.75
)

// fetchSeconds returns how many seconds a slot's machine needs until it has a job's image.
func (s *Slot) fetchSeconds(job *storage.Job) float64 {
	if s.FetchGBs <= 0 || slices.Contains(s.Images, job.Image) {
		return 0
	}
	imageSeconds := job.ImageGB / s.FetchGBs
	if slices.Contains(s.FetchingImages, job.Image) {
		return max(0, s.FetchRemainingS-sharedFetchGainFraction*imageSeconds)
	}
	return s.FetchRemainingS + imageSeconds
}

// startFetch adds a job's image to the fetches of a slot's machine, unless the machine has it or is fetching
// it.
func (s *Slot) startFetch(job *storage.Job) {
	if slices.Contains(s.Images, job.Image) || slices.Contains(s.FetchingImages, job.Image) {
		return
	}
	s.FetchingImages = append(s.FetchingImages, job.Image)
	if s.FetchGBs > 0 {
		s.FetchRemainingS += job.ImageGB / s.FetchGBs
	}
}

// claimSoonerStart looks for a slot on which a job's next task starts so much sooner than on the free slot
// found for it, where its image must be fetched, that the task should wait: on a booting machine or, for a
// job that MayPreempt allows, on preempted capacity. It claims the capacity there, so that the next tasks
// do not use it too, and returns the slot; nil if the task should not wait.
func (in *Input) claimSoonerStart(cursor *jobCursor, free *Slot) *Slot {
	job := cursor.job
	limit := free.fetchSeconds(job) - minStartGainS
	if limit <= 0 {
		return nil
	}
	best, limit := in.soonestBooting(cursor, limit)
	if in.MayPreempt != nil && in.MayPreempt(job) {
		if slot := in.soonestPreemptible(cursor, limit); slot != nil {
			best = slot
		}
	}
	if best != nil {
		cursor.claim(best)
	}
	return best
}

// soonestBooting returns the booting machine on which a job's next task starts soonest, in less than limit
// seconds, and after how many seconds; nil and the limit if there is none.
func (in *Input) soonestBooting(cursor *jobCursor, limit float64) (best *Slot, startSeconds float64) {
	job := cursor.job
	for _, slot := range in.Booting {
		start := slot.BootRemainingS + slot.fetchSeconds(job)
		if start < limit && Allowed(job, slot.Machine) && cursor.allowsZone(in, slot.Machine.Zone) && fitsOne(slot.Free, job) {
			best, limit = slot, start
		}
	}
	return best, limit
}

// soonestPreemptible returns the slot on which a job's next task starts soonest on capacity that it
// preempts, in less than limit seconds; nil if there is none.
func (in *Input) soonestPreemptible(cursor *jobCursor, limit float64) *Slot {
	job := cursor.job
	var best *Slot
	for _, slot := range in.Slots {
		start := preemptionSeconds + slot.fetchSeconds(job)
		if slot.Record.Free <= 0 || start >= limit || !Allowed(job, slot.Machine) || !cursor.allowsZone(in, slot.Machine.Zone) {
			continue
		}
		capacity := FreeFor(slot, job)
		capacity.Cpus += slot.Preemptible.Cpus
		capacity.Gpus += slot.Preemptible.Gpus
		capacity.Mem += slot.Preemptible.Mem
		// Capacity that an earlier preemption for the job has freed or is freeing there is reserved for
		// the job.
		if fitsOne(capacity, job) || slot.reservedFor(job) > countSlot(cursor.claimed, slot) {
			best, limit = slot, start
		}
	}
	return best
}

// claim takes the capacity for which a job's next task waits: free capacity of a booting machine, or
// preemptible capacity of another.
func (c *jobCursor) claim(slot *Slot) {
	if slot.BootRemainingS > 0 {
		slot.Free.Add(c.job, -1)
		slot.startFetch(c.job)
	} else {
		slot.Preemptible.Add(c.job, -1)
	}
	c.claimed = append(c.claimed, slot)
	c.countInZone(slot.Machine.Zone)
}
