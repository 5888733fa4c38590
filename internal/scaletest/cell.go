package scaletest

import (
	"fmt"
	"math"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
)

// Cell describes what one region plays in one run. It is the input of the cell's process.
type Cell struct {
	Run        string   `json:"run"`
	Scenario   Scenario `json:"cut"`
	Commit     string   `json:"commit"`
	Fraction   float64  `json:"fraction"`
	Region     string   `json:"region"`
	Index      int      `json:"index"` // index of the region in the profile
	Zones      []string `json:"zones"`
	Workers    int      `json:"workers"`
	Running    int      `json:"running"` // tasks that run at a time
	StartsPerS float64  `json:"starts_per_s"`
	JobsPerS   float64  `json:"jobs_per_s"`
	LargestJob int      `json:"largest_job"` // tasks of the largest job
	Seed       uint64   `json:"seed"`
	WarmUpS    float64  `json:"warm_up_s"`
	MeasureS   float64  `json:"measure_s"`
	Profile    Profile  `json:"profile"`
	Program    string   `json:"program"` // path of the controller program
	Dir        string   `json:"dir"`     // parent of the directory for settings files and logs
}

// Request holds the options of a run.
type Request struct {
	Run      string // name of the run, stored in the points
	Commit   string // commit of the measured sources, stored in the points
	Scenario Scenario
	Regions  Regions
	Fraction float64 // size of the run as a fraction of the profile
	Seed     uint64
	WarmUpS  float64 // seconds before the measurement
	MeasureS float64 // seconds of the measurement
	Program  string  // path of the controller program
	Dir      string  // directory for settings files and logs
}

// Cells returns the cells that a run of the request plays, one per region, each with its part of the profile's load.
func (p *Profile) Cells(request Request) []Cell {
	var cells []Cell
	zone := 0
	for i, region := range p.Regions {
		var zones []string
		for range region.Zones {
			zone++
			zones = append(zones, fmt.Sprintf("z%02d", zone))
		}
		if request.Regions == LargestRegion && i != p.largestRegion() {
			continue
		}
		part := region.Part * request.Fraction
		c := Cell{Run: request.Run, Scenario: request.Scenario, Commit: request.Commit, Fraction: request.Fraction, Region: region.Name, Index: i, Zones: zones,
			Workers: scaleCount(float64(p.Workers), part), Running: scaleCount(float64(p.RunningTasks), part),
			StartsPerS: p.StartsPerS * part, JobsPerS: p.JobsPerDay / secondsPerDay * p.PeakOfJobs * part,
			LargestJob: scaleCount(float64(p.LargestJob), part), Seed: request.Seed + uint64(i), WarmUpS: request.WarmUpS, MeasureS: request.MeasureS,
			Profile: *p, Program: request.Program, Dir: request.Dir}
		if request.Scenario == Population {
			c.StartsPerS = float64(c.Running) / populationTaskS
			c.JobsPerS /= p.PeakOfJobs
		}
		cells = append(cells, c)
	}
	return cells
}

const secondsPerDay = 86_400

// scaleCount returns a fraction of a count, rounded, but at least 1.
func scaleCount(whole, part float64) int { return max(1, int(math.Round(whole*part))) }

// largestRegion returns the index of the region with the largest part of the load.
func (p *Profile) largestRegion() int {
	best := 0
	for i, r := range p.Regions {
		if r.Part > p.Regions[best].Part {
			best = i
		}
	}
	return best
}

// taskS returns the mean run time of an array task, in seconds.
func (c *Cell) taskS() float64 { return float64(c.Running) / c.StartsPerS }

// Deployment returns the deployment settings of the cell's controllers.
func (c *Cell) Deployment() config.Deployment {
	profile := &c.Profile
	deployment := config.Deployment{Controllers: profile.Controller.PerRegion, Zones: c.Zones, ClockSkewMs: 50,
		Workers: config.Workers{HeartbeatS: profile.Worker.ReportS, LeaseS: profile.Worker.LeaseS, GangWaitS: 30, GangPeerS: 4, CancelS: profile.Worker.CancelS},
		State:   config.State{RPS: profile.State.RPS, WriteRPS: profile.State.WriteRPS, ValueKB: profile.State.ValueKB, TxnOps: profile.State.TxnOps},
		Cloud:   config.Cloud{RPS: profile.State.CloudRPS, ListLagS: 3},
		Resources: config.Resources{CPU: profile.Controller.CPU, MemMB: profile.Controller.MemMB,
			MaxConnections: profile.Controller.MaxConnections},
		Objectives: []config.Objective{
			{Kind: "wait", Class: urgentClass, Share: 0.99, WithinS: urgentWithinS},
			{Kind: "finished", Class: urgentClass, Share: 0.99, WithinS: urgentWithinS + 2*urgentTaskS},
			{Kind: "finished", Class: arrayClass, Share: 0.95, WithinS: arrayFinishFactor * c.taskS()}}}
	for _, t := range c.teams() {
		deployment.Teams = append(deployment.Teams, config.Team{Name: t.name, Cpus: math.Floor(t.limit * guaranteeFraction), CpusMax: t.limit})
	}
	return deployment
}

// team is a team of the load.
type team struct {
	name   string
	weight float64 // fraction of the work of its kind, urgent jobs or arrays
	limit  float64 // in CPUs
	urgent bool    // the team submits only urgent jobs, so that these don't wait for a limit that arrays use up
}

// teamsPerUrgentTeam sets the number of urgent teams: one team of 10.
const teamsPerUrgentTeam = 10

// urgentTeamCpus is the limit of an urgent team, in CPUs. It is above any load that is drawn for such a team.
const urgentTeamCpus = 400

// guaranteeFraction is a team's guarantee as a fraction of its limit.
const guaranteeFraction = 0.5

// teams returns the cell's teams. The limits of the teams with arrays add up to the number of tasks that should run at a
// time. Since these teams have backlogs, that many tasks do run.
func (c *Cell) teams() []team {
	n := c.Profile.Teams
	urgent := (n + teamsPerUrgentTeam - 1) / teamsPerUrgentTeam
	weights := teamWeights(max(1, n-urgent), c.Profile.HottestPart)
	var out []team
	for i := range n {
		t := team{name: fmt.Sprintf("team-%03d", i), urgent: i%teamsPerUrgentTeam == teamsPerUrgentTeam-1}
		if t.urgent || len(weights) == 0 {
			t.urgent, t.weight, t.limit = true, 1/float64(urgent), urgentTeamCpus
		} else {
			t.weight, weights = weights[0], weights[1:]
			t.limit = max(1, math.Round(t.weight*float64(c.Running)))
		}
		out = append(out, t)
	}
	return out
}

// Objectives of the two job classes.
const (
	urgentWithinS     = 1.7 // seconds within which an urgent job starts
	arrayFinishFactor = 1.5 // time within which an array finishes, as a multiple of the mean run time of a task
)

// Catalog returns the machine types of the cell's cloud: one type, in all zones.
func (c *Cell) Catalog() protocol.Catalog {
	w := &c.Profile.Worker
	return protocol.Catalog{Types: []protocol.MachineType{{Name: "m8", Cpus: w.Cpus, MemGB: w.MemGB, CacheGB: 50, FetchGBs: 1,
		Price: 1, SpotPrice: 0.3, BootS: w.BootS, Zones: c.Zones}}}
}

// teamWeights returns the weights of n teams, which add up to 1. They follow a power law; its exponent is found by
// bisection so that the first tenth of the teams has hottestPart of the work.
func teamWeights(n int, hottestPart float64) []float64 {
	low, high := 0.0, 8.0
	for range 60 {
		mid := (low + high) / 2
		if topTenthSum(powerLaw(n, mid)) < hottestPart {
			low = mid
		} else {
			high = mid
		}
	}
	return powerLaw(n, high)
}

// powerLaw returns n weights that add up to 1; weight i is proportional to (i+1) to the power -exponent.
func powerLaw(n int, exponent float64) []float64 {
	weights, sum := make([]float64, n), 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -exponent)
		sum += weights[i]
	}
	for i := range weights {
		weights[i] /= sum
	}
	return weights
}

// topTenthSum returns the sum of the first tenth of the weights.
func topTenthSum(weights []float64) float64 {
	sum := 0.0
	for _, w := range weights[:(len(weights)+9)/10] {
		sum += w
	}
	return sum
}
