package schedule

import (
	"slices"

	"dykeledge/internal/storage"
)

// spentRecordBudget is what is left of a pass when no more records may be rewritten: tasks may go
// only to machines whose records are rewritten anyway. The others do not change any more, so what
// they have free is summed up once.
type spentRecordBudget struct {
	input          *Input
	touched        []int32           // slots whose records are rewritten
	exhaustedSizes exhaustedSizes    // what found no slot among those
	untouched      []machineCapacity // of the others, by kind of machine
	reserved       []int32           // of the others, slots with capacity reserved for certain jobs
}

// machineKind is what Allowed tells machines apart by.
type machineKind struct {
	machineType, zone int
	spot              bool
}

// machineCapacity is what machines of one kind have free.
type machineCapacity struct {
	machine *storage.Machine // any of them
	maximal []storage.Usage  // the free capacities that are not within that of another machine
}

// newSpentRecordBudget sorts the slots by whether their records are rewritten.
func newSpentRecordBudget(input *Input, reserved map[*storage.Job]bool) *spentRecordBudget {
	b := &spentRecordBudget{input: input, exhaustedSizes: exhaustedSizes{input: input, reserved: reserved}}
	indexOf := map[machineKind]int{}
	for i, slot := range input.Slots {
		switch {
		case slot.Record.Free <= 0:
		case slot.Record.Touched:
			b.touched = append(b.touched, int32(i))
		case len(slot.Reservations) > 0:
			b.reserved = append(b.reserved, int32(i))
		default:
			b.addUntouched(indexOf, slot)
		}
	}
	return b
}

// addUntouched enters a slot's free capacity into that of its kind.
func (b *spentRecordBudget) addUntouched(indexOf map[machineKind]int, slot *Slot) {
	kind := machineKind{slot.Machine.Type, slot.Machine.Zone, slot.Machine.Spot}
	index, ok := indexOf[kind]
	if !ok {
		index = len(b.untouched)
		indexOf[kind] = index
		b.untouched = append(b.untouched, machineCapacity{machine: slot.Machine})
	}
	capacity := &b.untouched[index]
	if slices.ContainsFunc(capacity.maximal, func(free storage.Usage) bool { return isWithin(slot.Free, free) }) {
		return
	}
	capacity.maximal = slices.DeleteFunc(capacity.maximal, func(free storage.Usage) bool { return isWithin(free, slot.Free) })
	capacity.maximal = append(capacity.maximal, slot.Free)
}

// isWithin tells whether no resource of inner exceeds that of outer.
func isWithin(inner, outer storage.Usage) bool {
	return inner.Cpus <= outer.Cpus && inner.Gpus <= outer.Gpus && inner.Mem <= outer.Mem
}

// fitsUntouched tells whether a job's task fits on a machine whose record may not be rewritten.
func (b *spentRecordBudget) fitsUntouched(job *storage.Job) bool {
	for i := range b.untouched {
		capacity := &b.untouched[i]
		if mayUseMachine(b.input, capacity.machine, job) &&
			slices.ContainsFunc(capacity.maximal, func(free storage.Usage) bool { return fitsOne(free, job) }) {
			return true
		}
	}
	return slices.ContainsFunc(b.reserved, func(i int32) bool { return fitsSlot(b.input, b.input.Slots[i], job) })
}
