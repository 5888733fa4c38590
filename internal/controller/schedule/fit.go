package schedule

import (
	"math"
	"slices"

	"dykeledge/internal/storage"
)

// maxFitCount bounds Fits for tasks that ask for next to nothing.
const maxFitCount = 1e6

// Allowed tells whether a job's tasks may run on a machine at all, whatever is free on it: by spot or
// on-demand, zone and machine type.
func Allowed(job *storage.Job, machine *storage.Machine) bool {
	if machine.Spot && !job.Spot {
		return false
	}
	if job.Zone >= 0 && job.Zone != machine.Zone {
		return false
	}
	return len(job.Types) == 0 || slices.Contains(job.Types, machine.Type)
}

// Fits is how many tasks of a job fit into what is free.
func Fits(free storage.Usage, job *storage.Job) int {
	n := math.Inf(1)
	for _, resource := range [...]struct{ free, perTask float64 }{
		{free.Cpus, job.Cpus},
		{free.Gpus, job.Gpus},
		{free.Mem, job.Mem},
	} {
		if resource.perTask > 0 {
			n = min(n, math.Floor(resource.free/resource.perTask+tolerance))
		}
	}
	return int(max(0, min(n, maxFitCount)))
}

// FreeFor is what a job may use on a slot: what is free there less what is reserved for other jobs.
func FreeFor(slot *Slot, job *storage.Job) storage.Usage {
	free := slot.Free
	for _, reservation := range slot.Reservations {
		if reservation.Job != job {
			free.Add(reservation.Job, -float64(reservation.Slots))
		}
	}
	return free
}

// fitsOne tells whether one task of a job fits into what is free.
func fitsOne(free storage.Usage, job *storage.Job) bool {
	return free.Cpus+tolerance >= job.Cpus && free.Mem+tolerance >= job.Mem && free.Gpus+tolerance >= job.Gpus
}

// fitsSlot tells whether a slot takes one more task of a job, its zones and records aside.
func fitsSlot(input *Input, slot *Slot, job *storage.Job) bool {
	return fitsOne(slot.Free, job) && mayUseMachine(input, slot.Machine, job) &&
		(len(slot.Reservations) == 0 || Fits(FreeFor(slot, job), job) > 0)
}

// mayUseMachine tells whether a job may run on a machine in this pass, whatever is free on it.
func mayUseMachine(input *Input, machine *storage.Machine, job *storage.Job) bool {
	return Allowed(job, machine) && (machine.Spot || !input.mustAvoidOnDemand(job))
}

// reservedFor is how many tasks of a job the slot has capacity reserved for.
func (s *Slot) reservedFor(job *storage.Job) int {
	n := 0
	for _, reservation := range s.Reservations {
		if reservation.Job == job {
			n += reservation.Slots
		}
	}
	return n
}
