package schedule

import (
	"cmp"
	"math"
	"slices"

	"dykeledge/internal/storage"
)

// This file owns where a task starts soonest: what a machine still has to fetch for it, and
// whether room that it evicts serves it better than room that is free.

const (
	// evictSeconds is about how long an eviction takes until its room is free: a record, the
	// stops, the workers' heartbeats, a record.
	evictSeconds = 4
	// soonerBy is by how many seconds a task must start sooner on room that it evicts for free
	// room to be left alone. Short fetches are not worth what an eviction loses.
	soonerBy = 12
	// joins is the part of an image's fetch by which a task that joins it is better off than one
	// that begins another, where both take as long: each machine fetches an image once.
	joins = 0.75
	// togetherSeconds is what it costs to put a replica where another of its service is, in
	// seconds for each: one machine's end should take few of one service.
	togetherSeconds = 4
)

// fetches is how many seconds a slot's machine needs until it has a job's image.
func (s *Slot) fetches(j *storage.Job) float64 {
	if s.FetchGBs <= 0 || slices.Contains(s.Images, j.Image) {
		return 0
	}
	takes := j.ImageGB / s.FetchGBs
	if slices.Contains(s.FetchingImages, j.Image) {
		return max(0, s.FetchDoneS-joins*takes)
	}
	return s.FetchDoneS + takes
}

// together is what it costs, in seconds, that replicas of a service are on a slot's machine already.
func together(scheduleCursor *cursor, slot *Slot) float64 {
	if !scheduleCursor.job.Spread {
		return 0
	}
	n := 0
	for _, p := range slot.Machine.Tasks {
		if p.Job == scheduleCursor.job {
			n++
		}
	}
	for _, x := range scheduleCursor.took {
		if x == slot {
			n++
		}
	}
	return togetherSeconds * float64(n)
}

// sooner finds where a job's next task starts so much sooner than on the free slot that was found
// for it, which has to fetch its image for longer, that it should wait: for a machine that comes up, or
// as a top-priority job for room that it evicts where its image is. It claims the room there, so that
// the next tasks look elsewhere; nil: nowhere.
func (in *Input) sooner(scheduleCursor *cursor, free *Slot) *Slot {
	job := scheduleCursor.job
	least := free.fetches(job) - soonerBy
	if least <= 0 {
		return nil
	}
	var best *Slot
	look := func(s *Slot, at float64) bool {
		return at < least && Allowed(job, s.Machine) && (!job.OneZone && !job.Spread || zoneAllows(in, scheduleCursor, s.Machine.Zone))
	}
	for _, s := range in.Booting {
		if at := s.BootS + s.fetches(job); look(s, at) && takes(s.Free, job) {
			best, least = s, at
		}
	}
	if in.MayPreempt != nil && in.MayPreempt(job) {
		for _, s := range in.Slots {
			at := evictSeconds + s.fetches(job)
			if s.Record.Free <= 0 || !look(s, at) {
				continue
			}
			room := FreeFor(s, job)
			room.Cpus, room.Gpus, room.Mem = room.Cpus+s.Preemptible.Cpus, room.Gpus+s.Preemptible.Gpus, room.Mem+s.Preemptible.Mem
			// What an earlier set of the job's has freed there, or is about to free, is its own.
			if takes(room, job) || s.reservedFor(job) > scheduleCursor.claims(s) {
				best, least = s, at
			}
		}
	}
	if best == nil {
		return nil
	}
	if best.BootS > 0 {
		best.Free.Add(job, -1)
		best.fetch(job)
	} else {
		best.Preemptible.Add(job, -1)
	}
	scheduleCursor.claimed = append(scheduleCursor.claimed, best)
	scheduleCursor.inZone(best.Machine.Zone)
	return best
}

// fetch has a slot's machine fetch a job's image, if it neither has nor fetches it.
func (s *Slot) fetch(j *storage.Job) {
	if slices.Contains(s.Images, j.Image) || slices.Contains(s.FetchingImages, j.Image) {
		return
	}
	s.FetchingImages = append(s.FetchingImages, j.Image)
	if s.FetchGBs > 0 {
		s.FetchDoneS += j.ImageGB / s.FetchGBs
	}
}

// inZone counts one more of the job's tasks in a zone.
func (c *cursor) inZone(z int) {
	for len(c.placed) <= z {
		c.placed = append(c.placed, 0)
	}
	c.placed[z]++
}

// reservedFor is how many tasks of a job the slot's room is kept for.
func (s *Slot) reservedFor(j *storage.Job) int {
	n := 0
	for _, h := range s.Reservations {
		if h.Job == j {
			n += h.Slots
		}
	}
	return n
}

// claims is how many of the job's tasks wait for room on a slot in this pass.
func (c *cursor) claims(s *Slot) int {
	n := 0
	for _, x := range c.claimed {
		if x == s {
			n++
		}
	}
	return n
}

// starts are the seconds up to which a machine may need for its fetch, in the steps in which
// room is looked for: a job evicts where its image is, if that makes room for all that waits.
var starts = [...]float64{4, 10, 20, 40, 80, math.Inf(1)}

// PreemptSoonest is Evict on the machines where the job's tasks start soonest, of all slots: those that
// have the job's image go first, and those that would have to fetch it for longer are only
// looked at if those before give too little room. Among machines alike the order of the candidates is kept.
// Where no machine fetches it for long, the score alone decides: on the lifts with pipelines, whose work within guarantees evicts all day,
// looking first at machines a few seconds nearer lost more than it gained.
func PreemptSoonest(job *storage.Job, n int, slots []*Slot, ordered []Candidate) []Candidate {
	if !slices.ContainsFunc(slots, func(s *Slot) bool { return s.FetchGBs > 0 && job.ImageGB/s.FetchGBs > soonerBy }) {
		return Preempt(job, n, slots, ordered)
	}
	step := make(map[*Slot]int, len(slots))
	for _, s := range slots {
		step[s] = slices.IndexFunc(starts[:], func(most float64) bool { return s.fetches(job) <= most })
	}
	sorted := slices.Clone(ordered)
	slices.SortStableFunc(sorted, func(a, b Candidate) int {
		switch { // top-priority work comes after all best-effort work, wherever it is
		case a.TopPriority && !b.TopPriority:
			return 1
		case b.TopPriority && !a.TopPriority:
			return -1
		}
		return cmp.Compare(step[a.Victims[0].Slot], step[b.Victims[0].Slot])
	})
	var near []*Slot
	for i := range starts {
		before := len(near)
		for _, s := range slots {
			if step[s] == i {
				near = append(near, s)
			}
		}
		if len(near) == before {
			continue
		}
		r := newFreeCapacity(job, near)
		for _, c := range sorted {
			r.release(c, 1)
		}
		if r.tasks() >= n || len(near) == len(slots) {
			return Preempt(job, n, near, sorted)
		}
	}
	return nil
}
