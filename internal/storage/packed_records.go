package storage

import "slices"

// Flags at the start of a machine's packed entry.
const (
	packReturning = 1 << iota
	packUnhealthy
	packDraining
	packFencingToken
	packIncarnation // the incarnation differs from defaultIncarnation
	packAddress
	packMoved
	packTasks
)

// defaultIncarnation is the worker incarnation that the packed layout leaves out.
const defaultIncarnation = 1

// groupPacker packs a machine group's record. Attempts and placement times are written as differences
// from those of the preceding tasks.
type groupPacker struct {
	*packer
	attempt  uint64
	placedAt uint64
}

// pack returns the group's machines and completed tasks in the packed layout.
func (r *GroupRecord) pack() string {
	packer := groupPacker{packer: newPacker()}
	packer.number(uint64(len(r.Machines)))
	for i := range r.Machines {
		packer.machine(&r.Machines[i])
	}
	packer.number(uint64(len(r.Completed)))
	for _, completed := range r.Completed {
		packer.completedTasks(completed)
	}
	return packer.String()
}

func (p *groupPacker) machine(machine *GroupMachine) {
	p.name(machine.Name)
	p.number(machine.packedFlags())
	if machine.FencingToken > 0 {
		p.number(machine.FencingToken)
	}
	if machine.Incarnation != defaultIncarnation {
		p.number(machine.Incarnation)
	}
	if machine.Addr != "" {
		p.address(machine.Addr)
	}
	if len(machine.Tasks) == 0 {
		return
	}
	p.number(uint64(len(machine.Tasks)))
	for _, placed := range machine.Tasks {
		p.placedTasks(placed)
	}
}

// packedFlags returns the flags of the machine's packed entry.
func (m *GroupMachine) packedFlags() uint64 {
	flags := uint64(0)
	for _, flag := range []struct {
		set bool
		bit uint64
	}{
		{m.Returning, packReturning},
		{m.Unhealthy, packUnhealthy},
		{m.Draining, packDraining},
		{m.FencingToken > 0, packFencingToken},
		{m.Incarnation != defaultIncarnation, packIncarnation},
		{m.Addr != "", packAddress},
		{m.Moved, packMoved},
		{len(m.Tasks) > 0, packTasks},
	} {
		if flag.set {
			flags |= flag.bit
		}
	}
	return flags
}

// placedTasks writes the tasks of one job on a machine. Tasks that were placed together share their
// attempt and placement time, and mostly their waiting time; these are written once per batch.
func (p *groupPacker) placedTasks(placed PlacedTasks) {
	p.name(placed.Job)
	batches := batchTasks(placed.Numbers)
	p.number(uint64(len(batches)))
	for _, batch := range batches {
		attempt, placedAt, waited := batch[1], batch[2], batch[3]
		p.delta(attempt, p.attempt)
		p.delta(placedAt, p.placedAt)
		p.number(waited)
		p.attempt, p.placedAt = attempt, placedAt
		p.number(uint64(len(batch) / numbersPerTask))
		p.number(batch[0])
		for i := numbersPerTask; i < len(batch); i += numbersPerTask {
			p.delta(batch[i], batch[i-numbersPerTask])
		}
	}
}

func (p *groupPacker) completedTasks(completed CompletedTasks) {
	p.name(completed.Job)
	p.number(uint64(len(completed.Tasks)))
	last := uint64(0)
	for _, task := range completed.Tasks {
		p.delta(uint64(task), last)
		last = uint64(task)
	}
}

// batchTasks splits PlacedTasks.Numbers into batches of successive tasks that have the same attempt,
// placement time and waiting time.
func batchTasks(numbers []uint64) [][]uint64 {
	var batches [][]uint64
	for len(numbers) >= numbersPerTask {
		end := numbersPerTask
		for len(numbers)-end >= numbersPerTask && slices.Equal(numbers[1:numbersPerTask], numbers[end+1:end+numbersPerTask]) {
			end += numbersPerTask
		}
		batches = append(batches, numbers[:end])
		numbers = numbers[end:]
	}
	return batches
}

// groupUnpacker reads the output of a groupPacker.
type groupUnpacker struct {
	*unpacker
	attempt  uint64
	placedAt uint64
}

// unpack reads a group's machines and completed tasks from the packed layout. An error wraps
// ErrCorrupt.
func (r *GroupRecord) unpack(text string) error {
	unpacker := groupUnpacker{unpacker: newUnpacker(text)}
	r.Machines = make([]GroupMachine, 0, unpacker.count())
	for range cap(r.Machines) {
		r.Machines = append(r.Machines, unpacker.machine())
	}
	for range unpacker.count() {
		r.Completed = append(r.Completed, unpacker.completedTasks())
	}
	return unpacker.err
}

func (u *groupUnpacker) machine() GroupMachine {
	machine := GroupMachine{Name: u.name(), Incarnation: defaultIncarnation}
	flags := u.number()
	machine.Returning, machine.Unhealthy = flags&packReturning > 0, flags&packUnhealthy > 0
	machine.Draining, machine.Moved = flags&packDraining > 0, flags&packMoved > 0
	if flags&packFencingToken > 0 {
		machine.FencingToken = u.number()
	}
	if flags&packIncarnation > 0 {
		machine.Incarnation = u.number()
	}
	if flags&packAddress > 0 {
		machine.Addr = u.address()
	}
	jobs := 0
	if flags&packTasks > 0 {
		jobs = u.count()
	}
	for range jobs {
		machine.Tasks = append(machine.Tasks, u.placedTasks())
	}
	return machine
}

func (u *groupUnpacker) placedTasks() PlacedTasks {
	placed := PlacedTasks{Job: u.name()}
	for range u.count() {
		u.attempt, u.placedAt = u.delta(u.attempt), u.delta(u.placedAt)
		waited := u.number()
		task := uint64(0)
		for i := range u.count() {
			if i == 0 {
				task = u.number()
			} else {
				task = u.delta(task)
			}
			placed.Numbers = append(placed.Numbers, task, u.attempt, u.placedAt, waited)
		}
	}
	return placed
}

func (u *groupUnpacker) completedTasks() CompletedTasks {
	completed := CompletedTasks{Job: u.name()}
	last := uint64(0)
	for range u.count() {
		last = u.delta(last)
		completed.Tasks = append(completed.Tasks, int(last))
	}
	return completed
}

// pack returns the fleet's machines in the packed layout.
func (r *FleetRecord) pack() string {
	packer := newPacker()
	packer.number(uint64(len(r.Machines)))
	for _, machine := range r.Machines {
		packer.name(machine.Name)
		packer.number(uint64(machine.Group))
		packer.address(machine.Addr)
	}
	return packer.String()
}

// unpack reads a fleet's machines from the packed layout. An error wraps ErrCorrupt.
func (r *FleetRecord) unpack(text string) error {
	unpacker := newUnpacker(text)
	for range unpacker.count() {
		r.Machines = append(r.Machines, FleetMachine{Name: unpacker.name(), Group: int(unpacker.number()), Addr: unpacker.address()})
	}
	return unpacker.err
}

// scoreStepsPerUnit is the resolution of a victim's score in the packed layout, in steps per 1.0.
const scoreStepsPerUnit = 10

// pack returns the victim set's victims and reservations in the packed layout.
func (r *VictimSetRecord) pack() string {
	packer := newPacker()
	packer.number(uint64(len(r.Victims)))
	attempt := uint64(0)
	for _, victim := range r.Victims {
		packer.name(victim.Machine)
		packer.name(victim.Job)
		packer.number(uint64(victim.Task))
		packer.delta(victim.Attempt, attempt)
		attempt = victim.Attempt
		packer.number(uint64(max(0, victim.Score) * scoreStepsPerUnit))
	}
	packer.number(uint64(len(r.Reservations)))
	for _, reservation := range r.Reservations {
		packer.name(reservation.Machine)
		packer.number(uint64(reservation.Slots))
	}
	return packer.String()
}

// unpack reads a victim set's victims and reservations from the packed layout. An error wraps
// ErrCorrupt.
func (r *VictimSetRecord) unpack(text string) error {
	unpacker := newUnpacker(text)
	attempt := uint64(0)
	for range unpacker.count() {
		victim := VictimRecord{Machine: unpacker.name(), Job: unpacker.name(), Task: int(unpacker.number())}
		attempt = unpacker.delta(attempt)
		victim.Attempt, victim.Score = attempt, float64(unpacker.number())/scoreStepsPerUnit
		r.Victims = append(r.Victims, victim)
	}
	for range unpacker.count() {
		r.Reservations = append(r.Reservations, ReservationRecord{Machine: unpacker.name(), Slots: int(unpacker.number())})
	}
	return unpacker.err
}
