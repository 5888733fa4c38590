package scaletest

import (
	"math"

	"dykeledge/internal/localcluster"
)

// Times and sizes of the faults of a run.
const (
	// The larger faults start at these fractions of the measured time: the loss of a rack, a failed switch, a partitioned
	// zone, a crash of one controller, and a crash of all controllers.
	rackAt, switchAt, zoneAt, oneEndsAt, allEndAt = 0.10, 0.25, 0.40, 0.65, 0.80

	cutForS     = 15.0 // duration of a partition, in seconds
	cutPart     = 0.15 // upper bound for the duration of a partition, as a fraction of the measured time
	noticeS     = 10   // seconds from the preemption notice of a spot machine to its end
	switchRacks = 3    // racks that a failed switch partitions
)

// schedule returns the faults of a cell in a run of the cut Faults. The machine failures and replacements of a whole day
// happen within the measured time.
func (c *Cell) schedule() *localcluster.Schedule {
	profile, cutFor := &c.Profile, min(cutForS, cutPart*c.MeasureS)
	at := func(part float64) float64 { return c.WarmUpS + part*c.MeasureS }
	schedule := &localcluster.Schedule{Faults: []localcluster.Fault{
		{AtS: at(rackAt), Kind: "machine_dies", Count: profile.WorkersPerRack},
		{AtS: at(switchAt), Kind: "machine_cut", Count: switchRacks * profile.WorkersPerRack, ForS: cutFor},
		{AtS: at(zoneAt), Kind: "zone_cut", Zone: c.Zones[0], ForS: cutFor},
		{AtS: at(oneEndsAt), Kind: "crash", Node: "n1"},
		{AtS: at(allEndAt), Kind: "crash", Node: "all"},
	}}
	part := profile.Regions[c.Index].Part * c.Fraction
	schedule.Faults = append(schedule.Faults, c.spread(profile.FailuresADay*part, localcluster.Fault{Kind: "machine_dies", Count: 1})...)
	schedule.Faults = append(schedule.Faults, c.spread(profile.ReplacedADay*part, localcluster.Fault{Kind: "taken", Count: 1, NoticeS: noticeS})...)
	schedule.Sort()
	return schedule
}

// spread returns a fault repeated a number of times, evenly over the measured time.
func (c *Cell) spread(times float64, f localcluster.Fault) []localcluster.Fault {
	n := int(math.Round(times))
	out := make([]localcluster.Fault, n)
	for i := range out {
		f.AtS = c.WarmUpS + c.MeasureS*(float64(i)+0.5)/float64(n)
		out[i] = f
	}
	return out
}
