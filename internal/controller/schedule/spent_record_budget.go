package schedule

import (
	"slices"

	"dykeledge/internal/storage"
)

// spentRecordBudget is the state of a pass once no more records may be rewritten. Tasks may then be placed
// only on machines whose records are already rewritten. The free capacity of the other machines no longer
// changes, so it is summarized once.
type spentRecordBudget struct {
	input          *Input
	touched        []int32           // slots whose records are rewritten
	exhaustedSizes exhaustedSizes    // task sizes that found no slot among touched
	untouched      []machineCapacity // free capacity of the other slots, by kind of machine
	reserved       []int32           // those of the other slots that have reservations
}

// machineKind holds the properties by which Allowed distinguishes machines.
type machineKind struct {
	machineType, zone int
	spot              bool
}

// machineCapacity is the free capacity of machines of one kind.
type machineCapacity struct {
	machine *storage.Machine // any machine of the kind
	maximal []storage.Usage  // free capacities that are not within that of another machine
}

// newSpentRecordBudget divides the slots by whether their records are rewritten.
func newSpentRecordBudget(input *Input, reserved map[*storage.Job]bool) *spentRecordBudget {
	b := &spentRecordBudget{input: input, exhaustedSizes: exhaustedSizes{input: input, reserved: reserved}}
	indexOf := map[machineKind]int{}
	for i, slot := range input.Slots {
		switch {
		case slot.Record.Free <= 0:
		case slot.Record.Rewritten:
			b.touched = append(b.touched, int32(i))
		case len(slot.Reservations) > 0:
			b.reserved = append(b.reserved, int32(i))
		default:
			b.addUntouched(indexOf, slot)
		}
	}
	return b
}

// addUntouched adds a slot's free capacity to that of its kind of machine.
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

// isWithin reports whether no resource of inner exceeds that of outer.
func isWithin(inner, outer storage.Usage) bool {
	return inner.Cpus <= outer.Cpus && inner.Gpus <= outer.Gpus && inner.Mem <= outer.Mem
}

// fitsUntouched reports whether a job's task fits on a machine whose record may not be rewritten.
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
