package schedule

import (
	"dykeledge/internal/config"
	"dykeledge/internal/storage"
)

// tolerance is by how much sums of resources may be off: they are added and subtracted task by task.
const tolerance = 1e-6

// DominantShare is the largest part, from 0 to 1, that a team uses of any resource of the capacity.
func DominantShare(used, capacity storage.Usage) float64 {
	fraction := func(amount, total float64) float64 {
		if total <= 0 {
			return 0
		}
		return amount / total
	}
	return max(fraction(used.Cpus, capacity.Cpus), fraction(used.Gpus, capacity.Gpus), fraction(used.Mem, capacity.Mem))
}

// WithinGuarantee tells whether a team stays within its guarantee with one more task beside what
// it uses.
func WithinGuarantee(team config.Team, used storage.Usage, job *storage.Job) bool {
	if team.Cpus <= 0 && team.Gpus <= 0 {
		return false
	}
	return used.Cpus+job.Cpus <= team.Cpus+tolerance && used.Gpus+job.Gpus <= team.Gpus+tolerance
}

// WithinLimit tells whether a team stays within its limit with n more tasks beside what it
// uses.
func WithinLimit(team config.Team, used storage.Usage, job *storage.Job, n int) bool {
	return (team.CpusMax <= 0 || used.Cpus+float64(n)*job.Cpus <= team.CpusMax+tolerance) &&
		(team.GpusMax <= 0 || used.Gpus+float64(n)*job.Gpus <= team.GpusMax+tolerance)
}

// CapacityWithin is how many of n more tasks a team may run within its limit beside what it uses.
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
