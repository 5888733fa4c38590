package schedule

import (
	"math"
	"slices"

	"dykeledge/internal/storage"
)

// This file owns the search for the best slot of a job's next task. A pass over n machines
// that places m tasks of k jobs costs about k·n looks instead of m·n, and hundreds of jobs
// that find nothing cost none: what is known of one holds for all that take as much.

// option is a slot with what a placement there costs. It is out of date once the slot has
// changed since.
type option struct {
	cost  float64
	slot  int32
	since uint32
}

// less puts the cheapest first, and of equals the one that comes first among the slots.
func (o option) less(p option) bool {
	return o.cost < p.cost || o.cost == p.cost && o.slot < p.slot
}

// finder holds the options of one job: of the first of a team's queue.
type finder struct {
	job     *storage.Job
	heap    []option
	bounded bool // there is room for it that only another record would reach
}

// search is what the finders of a pass share.
type search struct {
	in      *Input
	changes []uint32  // by slot: how often it was changed in this pass
	full    exhausted // what found no room at all
	closed  *closed   // once no more records may be rewritten
	scans   int
}

// closed is what is left of a pass when no more records may be rewritten: tasks may go
// only to machines whose records are rewritten anyway. The others do not change any more.
type closed struct {
	open []int32   // slots whose records are rewritten
	full exhausted // what found no room on those
	rest []kind    // what the others have free
	kept []int32   // of the others, those with room kept for certain jobs
}

// kind is machines that are alike to a job, with the largest free rooms that they have.
type kind struct {
	m    *storage.Machine
	free []storage.Usage // none is within another
}

func newSearch(in *Input) *search {
	s := &search{in: in, changes: make([]uint32, len(in.Slots)), full: exhausted{in: in, held: map[*storage.Job]bool{}}}
	for i, x := range in.Slots {
		x.at = int32(i)
		for _, h := range x.Reservations {
			s.full.held[h.Job] = true
		}
	}
	return s
}

func within(a, b storage.Usage) bool {
	return a.Cpus <= b.Cpus && a.Gpus <= b.Gpus && a.Mem <= b.Mem
}

// close looks once at which records are being rewritten.
func (s *search) close() *closed {
	scheduleClosed := &closed{full: exhausted{in: s.in, held: s.full.held}}
	type alike struct {
		ty, zone int
		spot     bool
	}
	at := map[alike]int{}
	for i, slot := range s.in.Slots {
		switch {
		case slot.Record.Free <= 0:
			continue
		case slot.Record.Touched:
			scheduleClosed.open = append(scheduleClosed.open, int32(i))
			continue
		case len(slot.Reservations) > 0:
			scheduleClosed.kept = append(scheduleClosed.kept, int32(i))
			continue
		}
		scheduleAlike := alike{slot.Machine.Type, slot.Machine.Zone, slot.Machine.Spot}
		k, ok := at[scheduleAlike]
		if !ok {
			k = len(scheduleClosed.rest)
			at[scheduleAlike] = k
			scheduleClosed.rest = append(scheduleClosed.rest, kind{m: slot.Machine})
		}
		free := scheduleClosed.rest[k].free
		if slices.ContainsFunc(free, func(f storage.Usage) bool { return within(slot.Free, f) }) {
			continue
		}
		free = slices.DeleteFunc(free, func(f storage.Usage) bool { return within(f, slot.Free) })
		scheduleClosed.rest[k].free = append(free, slot.Free)
	}
	return scheduleClosed
}

// elsewhere tells whether a job has room on a machine whose record may not be rewritten.
func (s *search) elsewhere(j *storage.Job) bool {
	for i := range s.closed.rest {
		k := &s.closed.rest[i]
		if Allowed(j, k.m) && (k.m.Spot || !s.in.leavesOnDemand(j)) && slices.ContainsFunc(k.free, func(f storage.Usage) bool { return takes(f, j) }) {
			return true
		}
	}
	return slices.ContainsFunc(s.closed.kept, func(i int32) bool { return suits(s.in, s.in.Slots[i], j) })
}

// takes tells whether free room takes one task.
func takes(free storage.Usage, j *storage.Job) bool {
	return free.Cpus+eps >= j.Cpus && free.Mem+eps >= j.Mem && free.Gpus+eps >= j.Gpus
}

// suits tells whether a slot takes one more task of a job, its zones and records aside.
func suits(in *Input, s *Slot, j *storage.Job) bool {
	return takes(s.Free, j) && Allowed(j, s.Machine) && (s.Machine.Spot || !in.leavesOnDemand(j)) && (len(s.Reservations) == 0 || Fits(FreeFor(s, j), j) > 0)
}

// next finds the best slot for a job's next task. With none, bounded tells whether there is
// one that only another record would reach.
func (s *search) next(scheduleFinder *finder, scheduleCursor *cursor) (best *Slot, bounded bool) {
	job := scheduleCursor.job
	if s.full.covers(job) {
		return nil, false
	}
	if job.OneZone || job.Spread {
		s.scans++
		return choose(s.in, scheduleCursor) // what a zone allows changes with every task
	}
	if scheduleFinder.job != job {
		s.begin(scheduleFinder, job)
	}
	for len(scheduleFinder.heap) > 0 {
		o := scheduleFinder.heap[0]
		x := s.in.Slots[o.slot]
		if o.since == s.changes[o.slot] && x.Record.Free > 0 {
			if x.Record.Touched || s.in.Records > 0 {
				return x, false
			}
			scheduleFinder.bounded = true
		}
		scheduleFinder.pop()
	}
	if !scheduleFinder.bounded {
		if s.closed != nil {
			s.closed.full.note(job)
		}
		s.full.note(job)
	} else if s.closed != nil {
		s.closed.full.note(job)
	}
	return nil, scheduleFinder.bounded
}

// begin looks for all slots that a job's task could go to.
func (s *search) begin(scheduleFinder *finder, job *storage.Job) {
	*scheduleFinder = finder{job: job, heap: scheduleFinder.heap[:0]}
	if s.in.Records > 0 {
		s.scans++
		for i, x := range s.in.Slots {
			if suits(s.in, x, job) && x.Record.Free > 0 {
				scheduleFinder.heap = append(scheduleFinder.heap, option{cost(s.in, x, job), int32(i), s.changes[i]})
			}
		}
	} else {
		if s.closed == nil {
			s.closed = s.close()
		}
		scheduleFinder.bounded = s.elsewhere(job)
		if !s.closed.full.covers(job) {
			for _, i := range s.closed.open {
				if x := s.in.Slots[i]; suits(s.in, x, job) && x.Record.Free > 0 {
					scheduleFinder.heap = append(scheduleFinder.heap, option{cost(s.in, x, job), i, s.changes[i]})
				}
			}
		}
	}
	for i := len(scheduleFinder.heap)/2 - 1; i >= 0; i-- {
		scheduleFinder.down(i)
	}
}

// taken brings all finders up to date after a slot has changed.
func (s *search) taken(x *Slot, live []*queue) {
	i := x.at
	s.changes[i]++
	for _, q := range live {
		if f := &q.find; f.job != nil && suits(s.in, x, f.job) && x.Record.Free > 0 {
			f.push(option{cost(s.in, x, f.job), i, s.changes[i]})
		}
	}
}

func (f *finder) push(o option) {
	f.heap = append(f.heap, o)
	for i := len(f.heap) - 1; i > 0; {
		up := (i - 1) / 2
		if !f.heap[i].less(f.heap[up]) {
			return
		}
		f.heap[i], f.heap[up] = f.heap[up], f.heap[i]
		i = up
	}
}

func (f *finder) pop() {
	last := len(f.heap) - 1
	f.heap[0] = f.heap[last]
	f.heap = f.heap[:last]
	f.down(0)
}

func (f *finder) down(i int) {
	for {
		least := i
		for k := 2*i + 1; k <= 2*i+2 && k < len(f.heap); k++ {
			if f.heap[k].less(f.heap[least]) {
				least = k
			}
		}
		if least == i {
			return
		}
		f.heap[i], f.heap[least] = f.heap[least], f.heap[i]
		i = least
	}
}

// choose looks at all slots for the best one for a job's next task.
func choose(input *Input, scheduleCursor *cursor) (slot *Slot, bounded bool) {
	job := scheduleCursor.job
	bestCost := math.Inf(1)
	for _, s := range input.Slots {
		if !suits(input, s, job) || ((job.OneZone || job.Spread) && !zoneAllows(input, scheduleCursor, s.Machine.Zone)) {
			continue
		}
		if (!s.Record.Touched && input.Records <= 0) || s.Record.Free <= 0 {
			bounded = bounded || s.Record.Free > 0
			continue
		}
		if cost := cost(input, s, job) + together(scheduleCursor, s); cost < bestCost {
			slot, bestCost = s, cost
		}
	}
	return slot, bounded && slot == nil
}
