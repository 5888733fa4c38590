package schedule

import (
	"dykeledge/internal/config"
	"dykeledge/internal/storage"
)

// tolerance is by how much sums of resources may be off: they are added and subtracted task by task.
const tolerance = 1e-6

// DominantShare is the largest part, from 0 to 1, that a team uses of any resource of the capacity.
func DominantShare(u, capacity storage.Usage) float64 {
	part := func(used, of float64) float64 {
		if of <= 0 {
			return 0
		}
		return used / of
	}
	return max(part(u.Cpus, capacity.Cpus), part(u.Gpus, capacity.Gpus), part(u.Mem, capacity.Mem))
}

// WithinGuarantee tells whether a team that uses u stays within its guarantee with one more task.
func WithinGuarantee(t config.Team, u storage.Usage, j *storage.Job) bool {
	if t.Cpus <= 0 && t.Gpus <= 0 {
		return false
	}
	return u.Cpus+j.Cpus <= t.Cpus+tolerance && u.Gpus+j.Gpus <= t.Gpus+tolerance
}

// WithinLimit tells whether a team that uses u stays within its limit with n more tasks.
func WithinLimit(t config.Team, u storage.Usage, j *storage.Job, n int) bool {
	return (t.CpusMax <= 0 || u.Cpus+float64(n)*j.Cpus <= t.CpusMax+tolerance) &&
		(t.GpusMax <= 0 || u.Gpus+float64(n)*j.Gpus <= t.GpusMax+tolerance)
}

// CapacityWithin is how many of n more tasks a team that uses u may run within its limit.
func CapacityWithin(t config.Team, u storage.Usage, j *storage.Job, n int) int {
	for _, bound := range [...]struct{ limit, used, each float64 }{
		{t.CpusMax, u.Cpus, j.Cpus},
		{t.GpusMax, u.Gpus, j.Gpus},
	} {
		if bound.limit > 0 && bound.each > 0 {
			n = min(n, int((bound.limit-bound.used+tolerance)/bound.each))
		}
	}
	return max(0, n)
}
