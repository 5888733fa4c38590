package scaletest

import (
	"math"

	"dykeledge/internal/localcluster"
)

// Times and sizes of the faults of a run.
const (
	// The larger faults start at these fractions of the measured time: the loss of a rack, a failed switch, a partitioned
	// zone, a crash of one controller, and a crash of all controllers.
	rackFailureAt, switchFailureAt, zonePartitionAt, controllerCrashAt, allControllersCrashAt = 0.10, 0.25, 0.40, 0.65, 0.80

	partitionS           = 15.0 // duration of a partition, in seconds
	maxPartitionFraction = 0.15 // upper bound for the duration of a partition, as a fraction of the measured time
	noticeS              = 10   // seconds from the preemption notice of a spot machine to its end
	racksPerSwitch       = 3    // racks that a failed switch partitions
)

// faultSchedule returns the faults of a cell in a run of the cut Faults. The machine failures and replacements of a
// whole day happen within the measured time.
func (c *Cell) faultSchedule() *localcluster.Schedule {
	profile, partitionFor := &c.Profile, min(partitionS, maxPartitionFraction*c.MeasureS)
	at := func(part float64) float64 { return c.WarmUpS + part*c.MeasureS }
	schedule := &localcluster.Schedule{Faults: []localcluster.Fault{
		{AtS: at(rackFailureAt), Kind: "machine_dies", Count: profile.WorkersPerRack},
		{AtS: at(switchFailureAt), Kind: "machine_cut", Count: racksPerSwitch * profile.WorkersPerRack, DurationS: partitionFor},
		{AtS: at(zonePartitionAt), Kind: "zone_cut", Zone: c.Zones[0], DurationS: partitionFor},
		{AtS: at(controllerCrashAt), Kind: "crash", Controller: "n1"},
		{AtS: at(allControllersCrashAt), Kind: "crash", Controller: "all"},
	}}
	part := profile.Regions[c.Index].Part * c.Fraction
	schedule.Faults = append(schedule.Faults, c.repeatFault(profile.FailuresADay*part, localcluster.Fault{Kind: "machine_dies", Count: 1})...)
	schedule.Faults = append(schedule.Faults, c.repeatFault(profile.ReplacedADay*part, localcluster.Fault{Kind: "taken", Count: 1, NoticeS: noticeS})...)
	schedule.Sort()
	return schedule
}

// repeatFault returns a fault repeated a number of times, evenly over the measured time.
func (c *Cell) repeatFault(times float64, f localcluster.Fault) []localcluster.Fault {
	n := int(math.Round(times))
	out := make([]localcluster.Fault, n)
	for i := range out {
		f.AtS = c.WarmUpS + c.MeasureS*(float64(i)+0.5)/float64(n)
		out[i] = f
	}
	return out
}
