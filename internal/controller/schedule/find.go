package schedule

import (
	"math"

	"dykeledge/internal/storage"
)

// This file finds the best slot for a job's next task. A pass over n machines that places m tasks of
// k jobs computes about k·n costs instead of m·n, and hundreds of jobs that find nothing compute none:
// what is known of one job holds for all whose tasks are as large.

// jobFinder holds the options of one job: of the first in a class queue.
type jobFinder struct {
	job     *storage.Job
	options optionHeap
	bounded bool // the job fits on a machine whose record may not be rewritten any more
}

// search is what the finders of a pass share.
type search struct {
	input     *Input
	changes   []uint32     // by slot: how often it was changed in this pass
	exhausted exhausted    // what found no slot at all
	spent     *spentBudget // nil until no more records may be rewritten
	scans     int
}

func newSearch(input *Input) search {
	s := search{
		input:     input,
		changes:   make([]uint32, len(input.Slots)),
		exhausted: exhausted{input: input, reserved: map[*storage.Job]bool{}},
	}
	for i, slot := range input.Slots {
		slot.index = int32(i)
		for _, reservation := range slot.Reservations {
			s.exhausted.reserved[reservation.Job] = true
		}
	}
	return s
}

// next finds the best slot for a job's next task. With none, bounded tells whether there is
// one that could be used if one more record might be rewritten.
func (s *search) next(finder *jobFinder, cursor *jobCursor) (best *Slot, bounded bool) {
	job := cursor.job
	if s.exhausted.covers(job) {
		return nil, false
	}
	if job.OneZone || job.Spread {
		s.scans++
		return scanForBest(s.input, cursor) // what a zone allows changes with every task
	}
	if finder.job != job {
		s.start(finder, job)
	}
	if slot := s.cheapest(finder); slot != nil {
		return slot, false
	}
	if s.spent != nil {
		s.spent.exhausted.note(job)
	}
	if !finder.bounded {
		s.exhausted.note(job)
	}
	return nil, finder.bounded
}

// cheapest is the slot of a finder's cheapest option that can still be used, nil if there is none. It
// drops options that are out of date: a slot that has changed has a newer option if it still suits.
func (s *search) cheapest(finder *jobFinder) *Slot {
	for len(finder.options) > 0 {
		top := finder.options[0]
		slot := s.input.Slots[top.slot]
		if top.since == s.changes[top.slot] && slot.Record.Free > 0 {
			if slot.Record.Touched || s.input.Records > 0 {
				return slot
			}
			finder.bounded = true
		}
		finder.options.pop()
	}
	return nil
}

// start collects the options of a job: all slots that one of its tasks could go to.
func (s *search) start(finder *jobFinder, job *storage.Job) {
	*finder = jobFinder{job: job, options: finder.options[:0]}
	if s.input.Records > 0 {
		s.scans++
		for i := range s.input.Slots {
			s.collect(finder, int32(i))
		}
	} else {
		s.collectTouched(finder)
	}
	finder.options.init()
}

// collectTouched collects options where no more records may be rewritten.
func (s *search) collectTouched(finder *jobFinder) {
	if s.spent == nil {
		s.spent = newSpentBudget(s.input, s.exhausted.reserved)
	}
	finder.bounded = s.spent.fitsUntouched(finder.job)
	if s.spent.exhausted.covers(finder.job) {
		return
	}
	for _, i := range s.spent.touched {
		s.collect(finder, i)
	}
}

// collect adds a slot to a finder's options if it takes one of its job's tasks. The options
// are no heap until all are collected.
func (s *search) collect(finder *jobFinder, index int32) {
	if slot := s.input.Slots[index]; s.takes(slot, finder.job) {
		finder.options = append(finder.options, s.optionOf(slot, index, finder.job))
	}
}

// takes tells whether a slot and its record take one more task of a job.
func (s *search) takes(slot *Slot, job *storage.Job) bool {
	return suits(s.input, slot, job) && slot.Record.Free > 0
}

func (s *search) optionOf(slot *Slot, index int32, job *storage.Job) option {
	return option{cost(s.input, slot, job), index, s.changes[index]}
}

// update brings the finders of all queues up to date after a slot has changed.
func (s *search) update(slot *Slot, queues []*jobQueue) {
	s.changes[slot.index]++
	for _, queue := range queues {
		finder := &queue.finder
		if finder.job != nil && s.takes(slot, finder.job) {
			finder.options.push(s.optionOf(slot, slot.index, finder.job))
		}
	}
}

// scanForBest looks at all slots for the best one for a job's next task. With none, bounded is as for
// search.next.
func scanForBest(input *Input, cursor *jobCursor) (best *Slot, bounded bool) {
	job := cursor.job
	bestCost := math.Inf(1)
	for _, slot := range input.Slots {
		if !suits(input, slot, job) || slot.Record.Free <= 0 || !cursor.allowsZone(input, slot.Machine.Zone) {
			continue
		}
		if !slot.Record.Touched && input.Records <= 0 {
			bounded = true
			continue
		}
		if slotCost := cost(input, slot, job) + sameServiceSeconds(cursor, slot); slotCost < bestCost {
			best, bestCost = slot, slotCost
		}
	}
	return best, bounded && best == nil
}
