package autoscale

import "time"

const (
	// defaultBoot is the boot time in seconds that is assumed where none is known.
	defaultBoot = 30
	// bootTimesNeeded is how many boot times jobs must have for a new machine to be in time for them.
	bootTimesNeeded = 3
	// longRetention is for how many boot times an idle machine is kept where a new one would come late.
	longRetention = 20
	// shortRetention is the part of a boot time for which an idle machine is kept elsewhere, as a divisor.
	shortRetention = 6
)

// IdleRetention is how long an idle machine is kept: long where booting another would take a good part
// of the time that jobs have, short where it would not. boot is the boot time of a machine, and tightest
// the least time that a job has from its submission, both in seconds; 0: not known.
func IdleRetention(boot, tightest float64) time.Duration {
	if boot <= 0 {
		boot = defaultBoot
	}
	keep := boot / shortRetention
	if tightest > 0 && tightest < bootTimesNeeded*boot {
		keep = longRetention * boot
	}
	return time.Duration(keep * float64(time.Second))
}
