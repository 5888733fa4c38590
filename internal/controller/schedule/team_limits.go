package schedule

import (
	"dykeledge/internal/config"
	"dykeledge/internal/storage"
)

// tolerance is the rounding error allowed for in sums of resources, which are added and subtracted task by
// task.
const tolerance = 1e-6

// DominantShare returns the largest fraction that a team uses of any resource of the capacity, from 0 to 1 if
// used counts only tasks on that capacity.
func DominantShare(used, capacity storage.Usage) float64 {
	fraction := func(amount, total float64) float64 {
		if total <= 0 {
			return 0
		}
		return amount / total
	}
	return max(fraction(used.Cpus, capacity.Cpus), fraction(used.Gpus, capacity.Gpus), fraction(used.Mem, capacity.Mem))
}

// WithinGuarantee reports whether a team that uses the given resources stays within its guarantee with one
// more task.
func WithinGuarantee(team config.Team, used storage.Usage, job *storage.Job) bool {
	if team.Cpus <= 0 && team.Gpus <= 0 {
		return false
	}
	return used.Cpus+job.Cpus <= team.Cpus+tolerance && used.Gpus+job.Gpus <= team.Gpus+tolerance
}

// WithinLimit reports whether a team that uses the given resources stays within its limit with n more tasks.
func WithinLimit(team config.Team, used storage.Usage, job *storage.Job, n int) bool {
	return (team.CpusMax <= 0 || used.Cpus+float64(n)*job.Cpus <= team.CpusMax+tolerance) &&
		(team.GpusMax <= 0 || used.Gpus+float64(n)*job.Gpus <= team.GpusMax+tolerance)
}

// CapacityWithin returns how many of n more tasks a team that uses the given resources may run within its
// limit.
func CapacityWithin(team config.Team, used storage.Usage, job *storage.Job, n int) int {
	for _, bound := range [...]struct{ limit, used, perTask float64 }{
		{team.CpusMax, used.Cpus, job.Cpus},
		{team.GpusMax, used.Gpus, job.Gpus},
	} {
		if bound.limit > 0 && bound.perTask > 0 {
			n = min(n, int((bound.limit-bound.used+tolerance)/bound.perTask))
		}
	}
	return max(0, n)
}
