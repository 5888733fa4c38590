package schedule

import "dykeledge/internal/storage"

// maxExhaustedSizes limits the task sizes kept in a pass, since each is compared with every later job.
const maxExhaustedSizes = 16

// exhaustedSizes holds the task sizes that found no slot in a pass. Free capacity only decreases during a
// pass, so a task that is at least as large and may run on no more machines finds none either. This avoids
// a scan of all machines for each of hundreds of waiting jobs.
type exhaustedSizes struct {
	input    *Input
	sizes    []storage.Job         // only the fields that isAtLeastAsDemanding compares are set
	spotOnly []bool                // by size: only spot machines were searched
	reserved map[*storage.Job]bool // jobs with reserved capacity, which are never covered
}

// add records that a job's task found no slot. Jobs whose own constraints may be the reason are left out:
// they imply nothing for other jobs.
func (e *exhaustedSizes) add(job *storage.Job) {
	if len(job.Types) > 0 || job.OneZone || job.Spread || len(e.sizes) >= maxExhaustedSizes {
		return
	}
	e.sizes = append(e.sizes, storage.Job{Cpus: job.Cpus, Gpus: job.Gpus, Mem: job.Mem, Spot: job.Spot, Zone: job.Zone})
	e.spotOnly = append(e.spotOnly, e.input.mustAvoidOnDemand(job))
}

// covers reports whether a job's tasks can find no slot because a task no larger found none.
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

// isAtLeastAsDemanding reports whether a task of a job is at least as large as a task of another job and
// may run on no more machines, by spot and zone.
func isAtLeastAsDemanding(job, other *storage.Job) bool {
	return job.Cpus >= other.Cpus && job.Gpus >= other.Gpus && job.Mem >= other.Mem &&
		(other.Spot || !job.Spot) && (other.Zone < 0 || other.Zone == job.Zone)
}
