package schedule

import "dykeledge/internal/storage"

// maxExhaustedSizes is how many task sizes a pass remembers: each is compared with every job after it.
const maxExhaustedSizes = 16

// exhaustedSizes remembers which task sizes found no slot in this pass. Free capacity only gets less, so a
// task that is at least as large and may run on no more machines finds none either: hundreds of
// waiting jobs need no scan of all machines each.
type exhaustedSizes struct {
	input    *Input
	sizes    []storage.Job         // only what exhausted compares is set
	spotOnly []bool                // by size: it was searched for on spot machines only
	reserved map[*storage.Job]bool // jobs with capacity reserved for them, which are never covered
}

// add remembers that a job's task found no slot. Jobs whose own wishes may have been the reason tell
// nothing of others.
func (e *exhaustedSizes) add(job *storage.Job) {
	if len(job.Types) > 0 || job.OneZone || job.Spread || len(e.sizes) >= maxExhaustedSizes {
		return
	}
	e.sizes = append(e.sizes, storage.Job{Cpus: job.Cpus, Gpus: job.Gpus, Mem: job.Mem, Spot: job.Spot, Zone: job.Zone})
	e.spotOnly = append(e.spotOnly, e.input.mustAvoidOnDemand(job))
}

// covers tells whether a job's tasks find no slot because smaller ones found none.
func (e *exhaustedSizes) covers(job *storage.Job) bool {
	if e.reserved[job] {
		return false
	}
	for i := range e.sizes {
		if isAtLeastAsDemanding(job, &e.sizes[i]) && (!e.spotOnly[i] || e.input.mustAvoidOnDemand(job)) {
			return true
		}
	}
	return false
}

// isAtLeastAsDemanding tells whether a task of a job is at least as large as one of another and may run on no
// more machines, by spot and zone.
func isAtLeastAsDemanding(job, other *storage.Job) bool {
	return job.Cpus >= other.Cpus && job.Gpus >= other.Gpus && job.Mem >= other.Mem &&
		(other.Spot || !job.Spot) && (other.Zone < 0 || other.Zone == job.Zone)
}
