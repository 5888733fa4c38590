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

// Classes of the jobs that are drawn.
const (
	urgentClass = "urgent"
	arrayClass  = "array"
)

// What is drawn beside the profile's figures.
const (
	// backlogTimes is how much work each team has at the start, in times what it gets done in a run: a day's large arrays run
	// for much longer than a run lasts, so that the teams' limits are what bounds the running tasks.
	backlogTimes  = 1.2
	runSpread     = 0.5 // tasks run by up to as much longer or shorter than the mean
	urgentTaskS   = 5.0 // how long an urgent task runs
	shortestTaskS = 1.0
	estimateOff   = 0.5 // an estimate is wrong by up to this part
	taskMemGB     = 1
	// leastUrgent is how many urgent jobs come in a run at least: fewer tell nothing of their waits.
	leastUrgent = 120
)

// drawing draws a cell's jobs.
type drawing struct {
	cell   *Cell
	rand   *rand.Rand
	teams  []team
	number int
}

// Arrivals draws the jobs of a run, in the order of their times: the teams' backlogs, arrays that come meanwhile, and
// urgent jobs.
func (c *Cell) Arrivals() []loadgen.Arrival {
	d := &drawing{cell: c, rand: rand.New(rand.NewPCG(c.Seed, uint64(c.Index)+1)), teams: c.teams()}
	out := d.backlogs()
	out = append(out, d.arrays()...)
	out = append(out, d.urgent()...)
	slices.SortStableFunc(out, func(a, b loadgen.Arrival) int { return cmp.Compare(a.At, b.At) })
	return out
}

func (c *Cell) lasts() float64 { return c.WarmUpS + c.MeasureS }

// backlogs are what each team has to do from the start on. Submissions of the first seconds come one after another.
func (d *drawing) backlogs() []loadgen.Arrival {
	var out []loadgen.Arrival
	for i, t := range d.teams {
		if t.urgent {
			continue
		}
		tasks := int(math.Ceil(t.weight * d.cell.StartsPerS * d.cell.lasts() * backlogTimes))
		tasks = max(tasks, int(t.limit))
		at := submitWithinS * float64(i) / float64(len(d.teams))
		for tasks > 0 { // what is larger than any job may be comes as several
			part := min(tasks, d.cell.LargestJob, protocol.MaxTasks)
			out = append(out, d.job(at, t, arrayClass, protocol.Normal, part, d.cell.taskS()))
			tasks -= part
		}
	}
	return out
}

// submitWithinS is how long it takes until all backlogs are submitted.
const submitWithinS = 5.0

// arrays come at even times with some jitter, of sizes after a bounded power law, to teams by their part of the work.
func (d *drawing) arrays() []loadgen.Arrival {
	count := int(math.Round(d.cell.JobsPerS * (1 - d.cell.Profile.UrgentPart) * d.cell.lasts()))
	var out []loadgen.Arrival
	for i := range count {
		at := d.cell.lasts() * (float64(i) + d.rand.Float64()) / float64(count)
		size := int(boundedPareto(d.rand.Float64(), float64(min(d.cell.LargestJob, protocol.MaxTasks))))
		out = append(out, d.job(at, d.anyTeam(false), arrayClass, protocol.Normal, size, d.cell.taskS()))
	}
	return out
}

// urgent jobs are small and of high priority.
func (d *drawing) urgent() []loadgen.Arrival {
	count := max(leastUrgent, int(math.Round(d.cell.JobsPerS*d.cell.Profile.UrgentPart*d.cell.lasts())))
	var out []loadgen.Arrival
	for i := range count {
		at := d.cell.lasts() * (float64(i) + d.rand.Float64()) / float64(count)
		out = append(out, d.job(at, d.anyTeam(true), urgentClass, protocol.High, 1+d.rand.IntN(d.cell.Profile.UrgentTasks), urgentTaskS))
	}
	return out
}

// anyTeam draws a team by the teams' parts of the work of their kind.
func (d *drawing) anyTeam(urgent bool) team {
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

// boundedPareto maps an even draw to a size from 1 to the largest, of which there are fewer in proportion as they are larger.
func boundedPareto(u, largest float64) float64 { return 1 / (1 - u*(1-1/max(1, largest))) }

func (d *drawing) job(at float64, t team, class string, priority protocol.Priority, tasks int, runS float64) loadgen.Arrival {
	d.number++
	runS = max(shortestTaskS, runS)
	estimate := math.Round(100*runS*(1+estimateOff*(2*d.rand.Float64()-1))) / 100
	// Ids come in no order, and regions and seeds have their own.
	id := fmt.Sprintf("job-%02d%07d", d.cell.Index, (uint64(d.number)*7_654_321+d.cell.Seed*104_729)%9_999_991)
	return loadgen.Arrival{At: time.Duration(at * float64(time.Second)), Run: time.Duration(runS * float64(time.Second)),
		Job: protocol.Submission{ID: id, Class: class, Team: t.name, Priority: priority, Tasks: max(1, tasks), Cpus: 1, MemGB: taskMemGB,
			Image: class, ImageGB: 0.1, Spot: true, EstimateS: estimate}}
}
