package schedule

import (
	"math"

	"dykeledge/internal/storage"
)

// This file finds the best slot for a job's next task. A pass over n machines that places m tasks of k
// jobs computes about k·n costs instead of m·n. Hundreds of jobs that find no slot compute none, because
// a task size that found none rules out all jobs with tasks at least as large.

// jobFinder holds the options of the first job of a class queue.
type jobFinder struct {
	job           *storage.Job
	options       optionHeap
	recordLimited bool // the job fits on a machine whose record may no longer be rewritten in this pass
}

// search holds the state that the finders of a pass share.
type search struct {
	input          *Input
	changes        []uint32           // by slot index: number of changes in this pass
	exhaustedSizes exhaustedSizes     // task sizes that found no slot
	spentRecords   *spentRecordBudget // nil while more records may be rewritten
	scans          int
}

func newSearch(input *Input) search {
	s := search{
		input:          input,
		changes:        make([]uint32, len(input.Slots)),
		exhaustedSizes: exhaustedSizes{input: input, reserved: map[*storage.Job]bool{}},
	}
	for i, slot := range input.Slots {
		slot.index = int32(i)
		for _, reservation := range slot.Reservations {
			s.exhaustedSizes.reserved[reservation.Job] = true
		}
	}
	return s
}

// next returns the best slot for a job's next task. If there is none, recordLimited reports whether a slot
// could be used if one more record might be rewritten.
func (s *search) next(finder *jobFinder, cursor *jobCursor) (best *Slot, recordLimited bool) {
	job := cursor.job
	if s.exhaustedSizes.covers(job) {
		return nil, false
	}
	if job.OneZone || job.Spread {
		s.scans++
		return scanForBest(s.input, cursor) // the allowed zones change with every task
	}
	if finder.job != job {
		s.collectOptions(finder, job)
	}
	if slot := s.cheapestSlot(finder); slot != nil {
		return slot, false
	}
	if s.spentRecords != nil {
		s.spentRecords.exhaustedSizes.add(job)
	}
	if !finder.recordLimited {
		s.exhaustedSizes.add(job)
	}
	return nil, finder.recordLimited
}

// cheapestSlot returns the slot of a finder's cheapest option that can still be used, nil if there is none.
// It drops outdated options: a slot that has changed has a newer option if it still fits the job.
func (s *search) cheapestSlot(finder *jobFinder) *Slot {
	for len(finder.options) > 0 {
		top := finder.options[0]
		slot := s.input.Slots[top.slot]
		if top.changeCount == s.changes[top.slot] && slot.Record.Free > 0 {
			if slot.Record.Rewritten || s.input.RecordBudget > 0 {
				return slot
			}
			finder.recordLimited = true
		}
		finder.options.pop()
	}
	return nil
}

// collectOptions collects the options of a job: all slots on which one of its tasks could be placed.
func (s *search) collectOptions(finder *jobFinder, job *storage.Job) {
	*finder = jobFinder{job: job, options: finder.options[:0]}
	if s.input.RecordBudget > 0 {
		s.scans++
		for i := range s.input.Slots {
			s.collect(finder, int32(i))
		}
	} else {
		s.collectTouched(finder)
	}
	finder.options.init()
}

// collectTouched collects options when no more records may be rewritten.
func (s *search) collectTouched(finder *jobFinder) {
	if s.spentRecords == nil {
		s.spentRecords = newSpentRecordBudget(s.input, s.exhaustedSizes.reserved)
	}
	finder.recordLimited = s.spentRecords.fitsUntouched(finder.job)
	if s.spentRecords.exhaustedSizes.covers(finder.job) {
		return
	}
	for _, i := range s.spentRecords.touched {
		s.collect(finder, i)
	}
}

// collect adds a slot to a finder's options if one of its job's tasks can be placed there. The options form
// a heap only once all are collected.
func (s *search) collect(finder *jobFinder, index int32) {
	if slot := s.input.Slots[index]; s.canTake(slot, finder.job) {
		finder.options = append(finder.options, s.optionOf(slot, index, finder.job))
	}
}

// canTake reports whether a slot and its record have room for one more task of a job.
func (s *search) canTake(slot *Slot, job *storage.Job) bool {
	return fitsSlot(s.input, slot, job) && slot.Record.Free > 0
}

func (s *search) optionOf(slot *Slot, index int32, job *storage.Job) option {
	return option{placementSeconds(s.input, slot, job), index, s.changes[index]}
}

// update adds newer options for a changed slot to the finders of all queues.
func (s *search) update(slot *Slot, queues []*jobQueue) {
	s.changes[slot.index]++
	for _, queue := range queues {
		finder := &queue.finder
		if finder.job != nil && s.canTake(slot, finder.job) {
			finder.options.push(s.optionOf(slot, slot.index, finder.job))
		}
	}
}

// scanForBest scans all slots for the best one for a job's next task. recordLimited is as for search.next.
func scanForBest(input *Input, cursor *jobCursor) (best *Slot, recordLimited bool) {
	job := cursor.job
	bestCost := math.Inf(1)
	for _, slot := range input.Slots {
		if !fitsSlot(input, slot, job) || slot.Record.Free <= 0 || !cursor.allowsZone(input, slot.Machine.Zone) {
			continue
		}
		if !slot.Record.Rewritten && input.RecordBudget <= 0 {
			recordLimited = true
			continue
		}
		if slotCost := placementSeconds(input, slot, job) + sameServiceSeconds(cursor, slot); slotCost < bestCost {
			best, bestCost = slot, slotCost
		}
	}
	return best, recordLimited && best == nil
}
