package autoscale

import "time"

const (
	// defaultBootS is the boot time in seconds that is assumed where none is known.
	defaultBootS = 30
	// bootsForTimelyMachine is how many boot times jobs must have for a new machine to be in time for them.
	bootsForTimelyMachine = 3
	// longRetentionBoots is for how many boot times an idle machine is kept where a new one would come late.
	longRetentionBoots = 20
	// shortRetentionDivisor is the part of a boot time for which an idle machine is kept elsewhere, as a divisor.
	shortRetentionDivisor = 6
)

// IdleRetention is how long an idle machine is kept: long where booting another would take a good part
// of the time that jobs have, short where it would not. boot is the boot time of a machine, and tightest
// the least time that a job has from its submission, both in seconds; 0: not known.
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
