package schedule

import (
	"math"
	"slices"

	"dykeledge/internal/storage"
)

// maxFitCount limits the result of Fits for tasks that request almost no resources.
const maxFitCount = 1e6

// Allowed reports whether a machine satisfies a job's constraints on spot or on-demand machines, zone and
// machine type, regardless of its free capacity.
func Allowed(job *storage.Job, machine *storage.Machine) bool {
	if machine.Spot && !job.Spot {
		return false
	}
	if job.Zone >= 0 && job.Zone != machine.Zone {
		return false
	}
	return len(job.Types) == 0 || slices.Contains(job.Types, machine.Type)
}

// Fits returns how many tasks of a job fit into free capacity.
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

// FreeFor returns the capacity of a slot that a job may use: the free capacity without what is reserved for
// other jobs.
func FreeFor(slot *Slot, job *storage.Job) storage.Usage {
	free := slot.Free
	for _, reservation := range slot.Reservations {
		if reservation.Job != job {
			free.Add(reservation.Job, -float64(reservation.Slots))
		}
	}
	return free
}

// fitsOne reports whether one task of a job fits into free capacity.
func fitsOne(free storage.Usage, job *storage.Job) bool {
	return free.Cpus+tolerance >= job.Cpus && free.Mem+tolerance >= job.Mem && free.Gpus+tolerance >= job.Gpus
}

// fitsSlot reports whether one more task of a job may be placed on a slot, apart from the job's zone spread
// and the slot's record.
func fitsSlot(input *Input, slot *Slot, job *storage.Job) bool {
	return fitsOne(slot.Free, job) && mayUseMachine(input, slot.Machine, job) &&
		(len(slot.Reservations) == 0 || Fits(FreeFor(slot, job), job) > 0)
}

// mayUseMachine reports whether a job may run on a machine in this pass, regardless of its free capacity.
func mayUseMachine(input *Input, machine *storage.Machine, job *storage.Job) bool {
	return Allowed(job, machine) && (machine.Spot || !input.mustAvoidOnDemand(job))
}

// reservedFor returns the number of tasks of a job for which the slot has reserved capacity.
func (s *Slot) reservedFor(job *storage.Job) int {
	n := 0
	for _, reservation := range s.Reservations {
		if reservation.Job == job {
			n += reservation.Slots
		}
	}
	return n
}
