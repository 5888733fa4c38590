package scaletest

import (
	"fmt"
	"os"

	"dykeledge/internal/config"
	"dykeledge/internal/fieldcheck"
)

// Profile describes the full size of a deployment, from which runs of any fraction are derived. One second of a run
// stands for one second of the deployment; only faults are more frequent in a run.
type Profile struct {
	Workers        int     `toml:"workers"`        // in all regions
	RunningTasks   int     `toml:"running_tasks"`  // tasks that run at a time, in all regions
	StartsPerS     float64 `toml:"starts_per_s"`   // task starts per second at the peak, in all regions
	JobsPerDay     float64 `toml:"jobs_per_day"`   // in all regions
	PeakOfJobs     float64 `toml:"peak_of_jobs"`   // submission rate at the peak, as a multiple of the mean
	LargestJob     int     `toml:"largest_job"`    // tasks of the largest job
	UrgentPart     float64 `toml:"urgent_part"`    // fraction of the jobs that are urgent
	UrgentTasks    int     `toml:"urgent_tasks"`   // largest number of tasks of an urgent job
	Teams          int     `toml:"teams"`          // in each region
	HottestPart    float64 `toml:"hottest_part"`   // fraction of the work that belongs to the busiest tenth of the teams
	FailuresADay   float64 `toml:"failures_a_day"` // machines that fail per day, in all regions
	ReplacedADay   float64 `toml:"replaced_a_day"` // spot machines that the cloud reclaims per day, in all regions
	WorkersPerRack int     `toml:"rack_workers"`   // machines in one rack
	ChangesADay    float64 `toml:"changes_a_day"`  // configuration changes per day; each cell makes all of them

	Regions    []Region   `toml:"region"`
	Worker     Worker     `toml:"worker"`
	Controller Controller `toml:"controller"`
	State      State      `toml:"state"`
	Delays     Delays     `toml:"delays"`
}

// Region describes one region, which a run plays as one cell.
type Region struct {
	Name  string  `toml:"name"`
	Part  float64 `toml:"part"` // fraction of the deployment's load and workers
	Zones int     `toml:"zones"`
}

// Worker describes a machine and the timing of its worker.
type Worker struct {
	Cpus    float64 `toml:"cpus"`
	MemGB   float64 `toml:"mem_gb"`
	BootS   float64 `toml:"boot_s"`
	ReportS float64 `toml:"report_s"` // interval between heartbeats, in seconds
	LeaseS  float64 `toml:"lease_s"`
	CancelS float64 `toml:"cancel_s"`
}

// Controller holds the number and the resource limits of controllers. With a CPU limit above 1 a controller may use all
// cores of the host.
type Controller struct {
	PerRegion      int     `toml:"per_region"`
	CPU            float64 `toml:"cpu"`
	MemMB          float64 `toml:"mem_mb"`
	MaxConnections int     `toml:"max_connections"`
}

// State holds the limits of a region's state service, and the request rate limit of its cloud.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	CloudRPS float64 `toml:"cloud_rps"`
}

// Delays holds the one-way network delays of messages, in milliseconds.
type Delays struct {
	WithinZoneMs   float64 `toml:"within_zone_ms"`
	BetweenZonesMs float64 `toml:"between_zones_ms"`
}

// DefaultProfile returns the deployment size that the operators require, with assumptions where they require nothing; see
// docs/CAPACITY.md.
func DefaultProfile() Profile {
	return Profile{Workers: 17_000, RunningTasks: 110_000, StartsPerS: 7_600, JobsPerDay: 73_000, PeakOfJobs: 20, LargestJob: 100_000,
		UrgentPart: 0.1, UrgentTasks: 8, Teams: 460, HottestPart: 0.5, FailuresADay: 86, ReplacedADay: 2_900, WorkersPerRack: 32, ChangesADay: 55_000,
		Regions:    []Region{{"north", 0.28, 4}, {"east", 0.20, 4}, {"south", 0.16, 3}, {"west", 0.13, 3}, {"middle", 0.10, 3}, {"coast", 0.08, 3}, {"islands", 0.05, 2}},
		Worker:     Worker{Cpus: 8, MemGB: 32, BootS: 12, ReportS: 2.5, LeaseS: 15, CancelS: 45},
		Controller: Controller{PerRegion: 3, CPU: 2, MemMB: 2_000, MaxConnections: 18_000},
		State:      State{RPS: 2_000, WriteRPS: 1_200, ValueKB: 32, TxnOps: 48, CloudRPS: 15},
		Delays:     Delays{WithinZoneMs: 0.2, BetweenZonesMs: 1}}
}

// LoadProfile reads and validates a profile; fields that the file omits have the values of DefaultProfile. Errors fit on
// one line and name the file, the field and what was expected.
func LoadProfile(path string) (Profile, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Profile{}, fmt.Errorf("profile %s: expected a readable file: %w", path, err)
	}
	p, err := ParseProfile(raw)
	if err != nil {
		return Profile{}, fmt.Errorf("profile %s: %w", path, err)
	}
	return p, nil
}

// ParseProfile decodes a profile from TOML and validates it.
func ParseProfile(raw []byte) (Profile, error) {
	p := DefaultProfile()
	regions := p.Regions
	p.Regions = nil
	if err := config.DecodeStrict(raw, &p); err != nil {
		return Profile{}, err
	}
	if len(p.Regions) == 0 {
		p.Regions = regions
	}
	return p, p.check()
}

// Upper bounds of profiles that can be played on one machine.
const (
	maxWorkers   = 60_000 // each hollow worker has a loopback address of its own
	maxTeams     = 10_000
	maxRegions   = 32
	maxZones     = 16
	sumTolerance = 1e-6 // tolerance for rounding errors in the sum of the regions' parts
)

// check validates a profile and returns a *config.FieldError for the first invalid field.
func (p *Profile) check() error {
	check := fieldcheck.WithPrefix("")
	check.Require(p.Workers >= 1 && p.Workers <= maxWorkers, "workers", "a count from 1 to 60000")
	check.Require(p.RunningTasks >= 1 && p.RunningTasks <= 1_000_000, "running_tasks", "a count from 1 to 1000000")
	check.Require(p.StartsPerS > 0 && p.StartsPerS <= 1e5, "starts_per_s", "a rate from above 0 to 100000")
	check.Require(p.JobsPerDay > 0 && p.JobsPerDay <= 1e8, "jobs_per_day", "a count above 0")
	check.Require(p.PeakOfJobs >= 1 && p.PeakOfJobs <= 1e4, "peak_of_jobs", "a factor from 1")
	check.Require(p.LargestJob >= 1 && p.LargestJob <= 100_000, "largest_job", "tasks from 1 to 100000")
	check.Require(p.UrgentPart >= 0 && p.UrgentPart < 1, "urgent_part", "a fraction from 0 to below 1")
	check.Require(p.UrgentTasks >= 1 && p.UrgentTasks <= 1000, "urgent_tasks", "tasks from 1 to 1000")
	check.Require(p.Teams >= 2 && p.Teams <= maxTeams, "teams", "a count from 2 to 10000")
	check.Require(p.HottestPart >= 0.1 && p.HottestPart < 1, "hottest_part", "a fraction from 0.1 to below 1")
	check.Require(p.FailuresADay >= 0, "failures_a_day", "a count of 0 or more")
	check.Require(p.ReplacedADay >= 0, "replaced_a_day", "a count of 0 or more")
	check.Require(p.ChangesADay >= 0, "changes_a_day", "a count of 0 or more")
	check.Require(p.WorkersPerRack >= 1, "rack_workers", "a count above 0")
	check.Require(len(p.Regions) <= maxRegions, "region", "at most 32 regions")
	check.Require(p.Worker.Cpus > 0 && p.Worker.MemGB > 0, "worker.cpus", "CPUs and memory above 0")
	check.Require(p.Worker.BootS > 0, "worker.boot_s", "seconds above 0")
	check.Require(p.Worker.ReportS > 0 && p.Worker.LeaseS > 2*p.Worker.ReportS, "worker.lease_s", "more than twice report_s")
	check.Require(p.Worker.CancelS > 0, "worker.cancel_s", "seconds above 0")
	check.Require(p.Controller.PerRegion >= 1 && p.Controller.PerRegion <= 9, "controller.per_region", "a count from 1 to 9")
	check.Require(p.Controller.CPU > 0, "controller.cpu", "cores above 0")
	check.Require(p.Controller.MemMB >= 64, "controller.mem_mb", "at least 64")
	check.Require(p.Controller.MaxConnections >= 100, "controller.max_connections", "at least 100")
	check.Require(p.State.RPS > 0 && p.State.WriteRPS > 0, "state.rps", "rates above 0")
	check.Require(p.State.ValueKB >= 1, "state.value_kb", "at least 1")
	check.Require(p.State.TxnOps >= 4, "state.txn_ops", "at least 4")
	check.Require(p.State.CloudRPS > 0, "state.cloud_rps", "a rate above 0")
	check.Require(p.Delays.WithinZoneMs >= 0 && p.Delays.BetweenZonesMs >= 0, "delays", "milliseconds of 0 or more")
	if err := check.Err(); err != nil {
		return err
	}
	return p.checkRegions()
}

// checkRegions validates the regions of a profile.
func (p *Profile) checkRegions() error {
	parts, seen := 0.0, map[string]bool{}
	for i, r := range p.Regions {
		field := fmt.Sprintf("region[%d].", i)
		switch {
		case r.Name == "" || seen[r.Name]:
			return &config.FieldError{Field: field + "name", Expected: "a name that no other region has"}
		case !(r.Part > 0 && r.Part <= 1):
			return &config.FieldError{Field: field + "part", Expected: "a fraction from above 0 to 1"}
		case r.Zones < 1 || r.Zones > maxZones:
			return &config.FieldError{Field: field + "zones", Expected: "a count from 1 to 16"}
		}
		seen[r.Name] = true
		parts += r.Part
	}
	if parts > 1+sumTolerance {
		return &config.FieldError{Field: "region", Expected: "parts that add up to at most 1"}
	}
	return nil
}

// Scenario selects the aspect of the full load that a run plays, since one machine can't play all aspects at once.
type Scenario string

const (
	// Peak plays task starts at the rate of the peak.
	Peak Scenario = "peak"
	// Population plays all workers and running tasks, at a lower start rate, since its tasks run longer.
	Population Scenario = "population"
	// Changes is Peak with configuration changes.
	Changes Scenario = "changes"
	// Faults is Changes with faults: machine failures, the loss of a rack, a failed switch, a partitioned zone, and crashes
	// of controllers.
	Faults Scenario = "troubles"
)

// populationTaskS is the mean run time of a task in a Population run, in seconds.
const populationTaskS = 300

// Scenarios returns all cuts.
func Scenarios() []Scenario { return []Scenario{Peak, Population, Changes, Faults} }

// Regions selects the regions that a run plays.
type Regions string

// The values of Regions.
const (
	LargestRegion Regions = "largest"
	AllRegions    Regions = "all"
)
