package autoscale

import "time"

const (
	// defaultBootS is the boot time in seconds assumed for machines whose boot time is unknown.
	defaultBootS = 30
	// bootsForTimelyMachine is the shortest time allowed for a job, in boot times, with which a newly
	// requested machine is ready in time for the job.
	bootsForTimelyMachine = 3
	// longRetentionBoots is how long an idle machine is kept, in boot times, if a new machine would be
	// ready too late.
	longRetentionBoots = 20
	// shortRetentionDivisor divides the boot time to give how long an idle machine is kept otherwise.
	shortRetentionDivisor = 6
)

// IdleRetention returns how long an idle machine is kept: long if booting a replacement would take a large
// part of the time allowed for jobs, short otherwise. bootS is the boot time of a machine, and
// tightestAllowedS the shortest time that a job is allowed from its submission, both in seconds; 0: unknown.
func IdleRetention(bootS, tightestAllowedS float64) time.Duration {
	if bootS <= 0 {
		bootS = defaultBootS
	}
	retentionS := bootS / shortRetentionDivisor
	if tightestAllowedS > 0 && tightestAllowedS < bootsForTimelyMachine*bootS {
		retentionS = longRetentionBoots * bootS
	}
	return time.Duration(retentionS * float64(time.Second))
}
