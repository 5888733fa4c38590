package schedule

import (
	"slices"

	"dykeledge/internal/storage"
)

// This file finds where a task starts soonest: what a machine still has to fetch for it, and whether a
// machine that is starting, or capacity that it preempts, serves it better than what is free.

const (
	// preemptionSeconds is about how long a preemption takes until its capacity is free: a record, the
	// stops, the workers' heartbeats, a record.
	preemptionSeconds = 4
	// minStartGainS is by how many seconds a task must start sooner on capacity that it preempts for
	// free capacity to be left alone. Short fetches are not worth what a preemption loses.
	minStartGainS = 12
	// sharedFetchGainFraction is the part of an image's fetch by which a task that waits for one under way is
	// better off than one that starts another, where both take as long: each machine fetches an image
	// once.
	sharedFetchGainFraction = 0.75
)

// fetchSeconds is how many seconds a slot's machine needs until it has a job's image.
func (s *Slot) fetchSeconds(job *storage.Job) float64 {
	if s.FetchGBs <= 0 || slices.Contains(s.Images, job.Image) {
		return 0
	}
	imageSeconds := job.ImageGB / s.FetchGBs
	if slices.Contains(s.FetchingImages, job.Image) {
		return max(0, s.FetchDoneS-sharedFetchGainFraction*imageSeconds)
	}
	return s.FetchDoneS + imageSeconds
}

// startFetch has a slot's machine fetch a job's image, if it neither has nor fetches it.
func (s *Slot) startFetch(job *storage.Job) {
	if slices.Contains(s.Images, job.Image) || slices.Contains(s.FetchingImages, job.Image) {
		return
	}
	s.FetchingImages = append(s.FetchingImages, job.Image)
	if s.FetchGBs > 0 {
		s.FetchDoneS += job.ImageGB / s.FetchGBs
	}
}

// claimSoonerStart finds where a job's next task starts so much sooner than on the free slot that was found
// for it, which has to fetch its image for longer, that it should wait: for a machine that is
// starting, or as a top-priority job for capacity that it preempts where its image is. It claims the
// capacity there, so that the next tasks look elsewhere. nil: the task should not wait.
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

// soonestBooting is the starting machine on which a job's next task starts soonest, in less than limit
// seconds, and in how many; nil and the limit if there is none.
func (in *Input) soonestBooting(cursor *jobCursor, limit float64) (best *Slot, startSeconds float64) {
	job := cursor.job
	for _, slot := range in.Booting {
		start := slot.BootS + slot.fetchSeconds(job)
		if start < limit && Allowed(job, slot.Machine) && cursor.allowsZone(in, slot.Machine.Zone) && fitsOne(slot.Free, job) {
			best, limit = slot, start
		}
	}
	return best, limit
}

// soonestPreemptible is the slot on which a job's next task starts soonest on capacity that it preempts,
// in less than limit seconds; nil if there is none.
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
		// What an earlier preemption for the job has freed there, or is about to free, is its own.
		if fitsOne(capacity, job) || slot.reservedFor(job) > countSlot(cursor.claimed, slot) {
			best, limit = slot, start
		}
	}
	return best
}

// claim takes the capacity that a job's next task waits for: on a starting machine what is free, and
// elsewhere what can be preempted.
func (c *jobCursor) claim(slot *Slot) {
	if slot.BootS > 0 {
		slot.Free.Add(c.job, -1)
		slot.startFetch(c.job)
	} else {
		slot.Preemptible.Add(c.job, -1)
	}
	c.claimed = append(c.claimed, slot)
	c.countInZone(slot.Machine.Zone)
}
