package schedule

import (
	"slices"

	"dykeledge/internal/storage"
)

// spentBudget is what is left of a pass when no more records may be rewritten: tasks may go
// only to machines whose records are rewritten anyway. The others do not change any more, so what
// they have free is summed up once.
type spentBudget struct {
	input     *Input
	touched   []int32           // slots whose records are rewritten
	exhausted exhausted         // what found no slot among those
	untouched []machineCapacity // of the others, by kind of machine
	reserved  []int32           // of the others, slots with capacity reserved for certain jobs
}

// machineKind is what Allowed tells machines apart by.
type machineKind struct {
	machineType, zone int
	spot              bool
}

// machineCapacity is what machines of one kind have free.
type machineCapacity struct {
	machine *storage.Machine // any of them
	largest []storage.Usage  // the free capacities that are not within that of another machine
}

// newSpentBudget sorts the slots by whether their records are rewritten.
func newSpentBudget(input *Input, reserved map[*storage.Job]bool) *spentBudget {
	b := &spentBudget{input: input, exhausted: exhausted{input: input, reserved: reserved}}
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
func (b *spentBudget) addUntouched(indexOf map[machineKind]int, slot *Slot) {
	kind := machineKind{slot.Machine.Type, slot.Machine.Zone, slot.Machine.Spot}
	index, ok := indexOf[kind]
	if !ok {
		index = len(b.untouched)
		indexOf[kind] = index
		b.untouched = append(b.untouched, machineCapacity{machine: slot.Machine})
	}
	capacity := &b.untouched[index]
	if slices.ContainsFunc(capacity.largest, func(free storage.Usage) bool { return isWithin(slot.Free, free) }) {
		return
	}
	capacity.largest = slices.DeleteFunc(capacity.largest, func(free storage.Usage) bool { return isWithin(free, slot.Free) })
	capacity.largest = append(capacity.largest, slot.Free)
}

// isWithin tells whether no resource of inner exceeds that of outer.
func isWithin(inner, outer storage.Usage) bool {
	return inner.Cpus <= outer.Cpus && inner.Gpus <= outer.Gpus && inner.Mem <= outer.Mem
}

// fitsUntouched tells whether a job's task fits on a machine whose record may not be rewritten.
func (b *spentBudget) fitsUntouched(job *storage.Job) bool {
	for i := range b.untouched {
		capacity := &b.untouched[i]
		if mayUse(b.input, capacity.machine, job) &&
			slices.ContainsFunc(capacity.largest, func(free storage.Usage) bool { return fitsOne(free, job) }) {
			return true
		}
	}
	return slices.ContainsFunc(b.reserved, func(i int32) bool { return suits(b.input, b.input.Slots[i], job) })
}
