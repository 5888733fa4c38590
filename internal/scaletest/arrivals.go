package scaletest

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dykeledge/internal/loadgen"
	"dykeledge/internal/protocol"
)

// Job classes of the load.
const (
	urgentClass = "urgent"
	arrayClass  = "array"
)

// Parameters of the load that are not in the profile.
const (
	// backlogFactor is the work of each team at the start, as a multiple of what the team completes in a run. In a
	// deployment, the large arrays of a day take much longer than a run lasts, so that the teams' limits bound the number
	// of running tasks; the backlogs have the same effect in a run.
	backlogFactor = 1.2
	runSpread     = 0.5 // largest relative deviation of a task's run time from the mean
	urgentTaskS   = 5.0 // run time of an urgent task, in seconds
	shortestTaskS = 1.0 // shortest run time of a task, in seconds
	estimateError = 0.5 // largest relative error of a run time estimate
	taskMemGB     = 1
	// minUrgentJobs is the minimum number of urgent jobs in a run; fewer give no useful distribution of waiting times.
	minUrgentJobs = 120
)

// generator generates the jobs of a cell at random.
type generator struct {
	cell     *Cell
	rand     *rand.Rand
	teams    []team
	jobCount int
}

// Arrivals returns the jobs of a run in the order of arrival: the teams' backlogs at the start, and arrays and urgent
// jobs throughout the run. The same cell yields the same jobs.
func (c *Cell) Arrivals() []loadgen.Arrival {
	d := &generator{cell: c, rand: rand.New(rand.NewPCG(c.Seed, uint64(c.Index)+1)), teams: c.teams()}
	arrivals := d.backlogs()
	arrivals = append(arrivals, d.arrays()...)
	arrivals = append(arrivals, d.urgent()...)
	slices.SortStableFunc(arrivals, func(a, b loadgen.Arrival) int { return cmp.Compare(a.At, b.At) })
	return arrivals
}

// durationS returns the duration of a run in seconds.
func (c *Cell) durationS() float64 { return c.WarmUpS + c.MeasureS }

// backlogs returns the jobs that each team has at the start, submitted evenly over the first backlogSubmitS seconds.
func (d *generator) backlogs() []loadgen.Arrival {
	var arrivals []loadgen.Arrival
	for i, t := range d.teams {
		if t.urgent {
			continue
		}
		tasks := int(math.Ceil(t.weight * d.cell.StartsPerS * d.cell.durationS() * backlogFactor))
		tasks = max(tasks, int(t.limit))
		at := backlogSubmitS * float64(i) / float64(len(d.teams))
		for tasks > 0 { // a backlog above the largest job size is split into several jobs
			part := min(tasks, d.cell.LargestJob, protocol.MaxTasks)
			arrivals = append(arrivals, d.job(at, t, arrayClass, protocol.Normal, part, d.cell.taskS()))
			tasks -= part
		}
	}
	return arrivals
}

// backlogSubmitS is the time over which the backlogs are submitted, in seconds.
const backlogSubmitS = 5.0

// arrays returns the arrays that arrive during the run: evenly spaced with jitter, with sizes from a bounded Pareto
// distribution, and distributed over the teams by their weights.
func (d *generator) arrays() []loadgen.Arrival {
	count := int(math.Round(d.cell.JobsPerS * (1 - d.cell.Profile.UrgentPart) * d.cell.durationS()))
	var arrivals []loadgen.Arrival
	for i := range count {
		at := d.cell.durationS() * (float64(i) + d.rand.Float64()) / float64(count)
		size := int(boundedPareto(d.rand.Float64(), float64(min(d.cell.LargestJob, protocol.MaxTasks))))
		arrivals = append(arrivals, d.job(at, d.drawTeam(false), arrayClass, protocol.Normal, size, d.cell.taskS()))
	}
	return arrivals
}

// urgent returns the urgent jobs, which are small and of high priority and arrive evenly spaced with jitter.
func (d *generator) urgent() []loadgen.Arrival {
	count := max(minUrgentJobs, int(math.Round(d.cell.JobsPerS*d.cell.Profile.UrgentPart*d.cell.durationS())))
	var arrivals []loadgen.Arrival
	for i := range count {
		at := d.cell.durationS() * (float64(i) + d.rand.Float64()) / float64(count)
		arrivals = append(arrivals, d.job(at, d.drawTeam(true), urgentClass, protocol.High, 1+d.rand.IntN(d.cell.Profile.UrgentTasks), urgentTaskS))
	}
	return arrivals
}

// drawTeam draws a team at random by weight, from the urgent teams or from the others.
func (d *generator) drawTeam(urgent bool) team {
	at, last := d.rand.Float64(), d.teams[0]
	for _, t := range d.teams {
		if t.urgent != urgent {
			continue
		}
		last = t
		if at -= t.weight; at <= 0 {
			break
		}
	}
	return last
}

// boundedPareto maps a uniform draw u from [0, 1) to a size of a bounded Pareto distribution, from 1 to largest. The
// fraction of sizes above x falls roughly as 1/x.
func boundedPareto(u, largest float64) float64 { return 1 / (1 - u*(1-1/max(1, largest))) }

func (d *generator) job(at float64, t team, class string, priority protocol.Priority, tasks int, runS float64) loadgen.Arrival {
	d.jobCount++
	runS = max(shortestTaskS, runS)
	estimate := math.Round(100*runS*(1+estimateError*(2*d.rand.Float64()-1))) / 100
	// Ids don't follow the order of arrival, and differ between regions and seeds.
	id := fmt.Sprintf("job-%02d%07d", d.cell.Index, (uint64(d.jobCount)*7_654_321+d.cell.Seed*104_729)%9_999_991)
	return loadgen.Arrival{At: time.Duration(at * float64(time.Second)), TaskDuration: time.Duration(runS * float64(time.Second)),
		Job: protocol.Submission{ID: id, Class: class, Team: t.name, Priority: priority, Tasks: max(1, tasks), Cpus: 1, MemGB: taskMemGB,
			Image: class, ImageGB: 0.1, Spot: true, EstimateS: estimate}}
}
