package scaletest

import (
	"fmt"
	"math"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
)

// Cell is what one region plays in one run: everything that its process has to know.
type Cell struct {
	Run        string   `json:"run"`
	Cut        Cut      `json:"cut"`
	Commit     string   `json:"commit"`
	Fraction   float64  `json:"fraction"`
	Region     string   `json:"region"`
	Index      int      `json:"index"` // of the region
	Zones      []string `json:"zones"`
	Workers    int      `json:"workers"`
	Running    int      `json:"running"`
	StartsPerS float64  `json:"starts_per_s"`
	JobsPerS   float64  `json:"jobs_per_s"`
	LargestJob int      `json:"largest_job"`
	Seed       uint64   `json:"seed"`
	WarmUpS    float64  `json:"warm_up_s"`
	MeasureS   float64  `json:"measure_s"`
	Profile    Profile  `json:"profile"`
	Program    string   `json:"program"`
	Dir        string   `json:"dir"`
}

// Request is what a run is asked to play.
type Request struct {
	Run      string
	Commit   string // of the sources that are measured, for the points
	Cut      Cut
	Regions  Regions
	Fraction float64 // of the profile's figures
	Seed     uint64
	WarmUpS  float64
	MeasureS float64
	Program  string // the controller
	Dir      string
}

// Cells parts a request over the profile's regions.
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
		c := Cell{Run: request.Run, Cut: request.Cut, Commit: request.Commit, Fraction: request.Fraction, Region: region.Name, Index: i, Zones: zones,
			Workers: scaled(float64(p.Workers), part), Running: scaled(float64(p.RunningTasks), part),
			StartsPerS: p.StartsPerS * part, JobsPerS: p.JobsPerDay / secondsADay * p.PeakOfJobs * part,
			LargestJob: scaled(float64(p.LargestJob), part), Seed: request.Seed + uint64(i), WarmUpS: request.WarmUpS, MeasureS: request.MeasureS,
			Profile: *p, Program: request.Program, Dir: request.Dir}
		if request.Cut == Population {
			c.StartsPerS = float64(c.Running) / populationTaskS
			c.JobsPerS /= p.PeakOfJobs
		}
		cells = append(cells, c)
	}
	return cells
}

const secondsADay = 86_400

func scaled(whole, part float64) int { return max(1, int(math.Round(whole*part))) }

func (p *Profile) largestRegion() int {
	best := 0
	for i, r := range p.Regions {
		if r.Part > p.Regions[best].Part {
			best = i
		}
	}
	return best
}

// taskS is how long a task runs on average, in seconds.
func (c *Cell) taskS() float64 { return float64(c.Running) / c.StartsPerS }

// Deployment is what the cell's controllers are told.
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
			{Kind: "finished", Class: arrayClass, Share: 0.95, WithinS: arrayAim * c.taskS()}}}
	for _, t := range c.teams() {
		deployment.Teams = append(deployment.Teams, config.Team{Name: t.name, Cpus: math.Floor(t.limit * guaranteedPart), CpusMax: t.limit})
	}
	return deployment
}

// team is a team with its part of the work of its kind, and its limit in CPUs.
type team struct {
	name   string
	weight float64
	limit  float64
	urgent bool // it submits urgent jobs only: they must not wait behind its own limit
}

// One team of so many submits urgent jobs.
const urgentTeamOf = 10

// What urgent teams may use, beyond any load that is drawn for them.
const urgentTeamCpus = 400

// guaranteedPart is a team's guarantee, in times its limit.
const guaranteedPart = 0.5

// teams are the cell's teams. The limits of those with arrays add up to the tasks that are to run: with the backlogs that
// they have, as many do.
func (c *Cell) teams() []team {
	n := c.Profile.Teams
	urgent := (n + urgentTeamOf - 1) / urgentTeamOf
	weights := teamWeights(max(1, n-urgent), c.Profile.HottestPart)
	var out []team
	for i := range n {
		t := team{name: fmt.Sprintf("team-%03d", i), urgent: i%urgentTeamOf == urgentTeamOf-1}
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

// The aims of the two classes.
const (
	urgentWithinS = 1.7
	arrayAim      = 1.5 // times a task's mean
)

// Catalog is what the cell's cloud rents: one type, everywhere.
func (c *Cell) Catalog() protocol.Catalog {
	w := &c.Profile.Worker
	return protocol.Catalog{Types: []protocol.MachineType{{Name: "m8", Cpus: w.Cpus, MemGB: w.MemGB, CacheGB: 50, FetchGBs: 1,
		Price: 1, SpotPrice: 0.3, BootS: w.BootS, Zones: c.Zones}}}
}

// teamWeights are the teams' parts of the work, which sum up to 1: a power law whose exponent gives the first tenth the
// part that is asked for.
func teamWeights(n int, hottestPart float64) []float64 {
	low, high := 0.0, 8.0
	for range 60 {
		mid := (low + high) / 2
		if tenthOf(powerLaw(n, mid)) < hottestPart {
			low = mid
		} else {
			high = mid
		}
	}
	return powerLaw(n, high)
}

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

func tenthOf(weights []float64) float64 {
	sum := 0.0
	for _, w := range weights[:(len(weights)+9)/10] {
		sum += w
	}
	return sum
}
