package scaletest

import (
	"fmt"
	"os"

	"dykeledge/internal/config"
	"dykeledge/internal/fieldcheck"
)

// Profile describes the deployment at its whole size, and how a run at a part of it is played. One second of a run is one
// second of the deployment; faults alone come more often than they do there.
type Profile struct {
	Workers        int     `toml:"workers"`       // in all regions
	RunningTasks   int     `toml:"running_tasks"` // at a time, in all regions
	StartsPerS     float64 `toml:"starts_per_s"`  // task starts at the peak
	JobsPerDay     float64 `toml:"jobs_per_day"`
	PeakOfJobs     float64 `toml:"peak_of_jobs"`   // submissions at the peak, in times their mean
	LargestJob     int     `toml:"largest_job"`    // tasks
	UrgentPart     float64 `toml:"urgent_part"`    // of the jobs
	UrgentTasks    int     `toml:"urgent_tasks"`   // at most, of an urgent job
	Teams          int     `toml:"teams"`          //
	HottestPart    float64 `toml:"hottest_part"`   // of the work, that the hottest tenth of the teams has
	FailuresADay   float64 `toml:"failures_a_day"` // machines that die
	ReplacedADay   float64 `toml:"replaced_a_day"` // machines that are taken with a notice
	WorkersPerRack int     `toml:"rack_workers"`   // machines behind one switch
	ChangesADay    float64 `toml:"changes_a_day"`  // of the configuration; each cell gets all of them

	Regions    []Region   `toml:"region"`
	Worker     Worker     `toml:"worker"`
	Controller Controller `toml:"controller"`
	State      State      `toml:"state"`
	Delays     Delays     `toml:"delays"`
}

// Region is one cell: its part of everything, and its zones.
type Region struct {
	Name  string  `toml:"name"`
	Part  float64 `toml:"part"`
	Zones int     `toml:"zones"`
}

// Worker is what each machine has, and how its worker heartbeats.
type Worker struct {
	Cpus    float64 `toml:"cpus"`
	MemGB   float64 `toml:"mem_gb"`
	BootS   float64 `toml:"boot_s"`
	ReportS float64 `toml:"report_s"`
	LeaseS  float64 `toml:"lease_s"`
	CancelS float64 `toml:"cancel_s"`
}

// Controller is what each controller may use. Cpu above 1 gives it all cores that the machine has.
type Controller struct {
	PerRegion      int     `toml:"per_region"`
	CPU            float64 `toml:"cpu"`
	MemMB          float64 `toml:"mem_mb"`
	MaxConnections int     `toml:"max_connections"`
}

// State is what a region's state service and cloud admit.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	CloudRPS float64 `toml:"cloud_rps"`
}

// Delays are one-way times of messages, in milliseconds.
type Delays struct {
	WithinZoneMs   float64 `toml:"within_zone_ms"`
	BetweenZonesMs float64 `toml:"between_zones_ms"`
}

// DefaultProfile is the operators' letter, and what had to be assumed beside it: see docs/CAPACITY.md.
func DefaultProfile() Profile {
	return Profile{Workers: 17_000, RunningTasks: 110_000, StartsPerS: 7_600, JobsPerDay: 73_000, PeakOfJobs: 20, LargestJob: 100_000,
		UrgentPart: 0.1, UrgentTasks: 8, Teams: 460, HottestPart: 0.5, FailuresADay: 86, ReplacedADay: 2_900, WorkersPerRack: 32, ChangesADay: 55_000,
		Regions:    []Region{{"north", 0.28, 4}, {"east", 0.20, 4}, {"south", 0.16, 3}, {"west", 0.13, 3}, {"middle", 0.10, 3}, {"coast", 0.08, 3}, {"islands", 0.05, 2}},
		Worker:     Worker{Cpus: 8, MemGB: 32, BootS: 12, ReportS: 2.5, LeaseS: 15, CancelS: 45},
		Controller: Controller{PerRegion: 3, CPU: 2, MemMB: 2_000, MaxConnections: 18_000},
		State:      State{RPS: 2_000, WriteRPS: 1_200, ValueKB: 32, TxnOps: 48, CloudRPS: 15},
		Delays:     Delays{WithinZoneMs: 0.2, BetweenZonesMs: 1}}
}

// LoadProfile reads and checks a profile; what the file leaves out is as DefaultProfile has it. Errors fit on one line and
// name file, field and what was expected.
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

// ParseProfile reads and checks a profile's text.
func ParseProfile(raw []byte) (Profile, error) {
	p := DefaultProfile()
	regions := p.Regions
	p.Regions = nil
	if err := config.Strict(raw, &p); err != nil {
		return Profile{}, err
	}
	if len(p.Regions) == 0 {
		p.Regions = regions
	}
	return p, p.check()
}

// Bounds of what one machine can play.
const (
	mostWorkers = 60_000 // each hollow worker has a loopback address of its own
	mostTeams   = 10_000
	mostRegions = 32
	mostZones   = 16
	partSlack   = 1e-6
)

func (p *Profile) check() error {
	check := fieldcheck.Under("")
	check.Want(p.Workers >= 1 && p.Workers <= mostWorkers, "workers", "a count from 1 to 60000")
	check.Want(p.RunningTasks >= 1 && p.RunningTasks <= 1_000_000, "running_tasks", "a count from 1 to 1000000")
	check.Want(p.StartsPerS > 0 && p.StartsPerS <= 1e5, "starts_per_s", "a rate from above 0 to 100000")
	check.Want(p.JobsPerDay > 0 && p.JobsPerDay <= 1e8, "jobs_per_day", "a count above 0")
	check.Want(p.PeakOfJobs >= 1 && p.PeakOfJobs <= 1e4, "peak_of_jobs", "a factor from 1")
	check.Want(p.LargestJob >= 1 && p.LargestJob <= 100_000, "largest_job", "tasks from 1 to 100000")
	check.Want(p.UrgentPart >= 0 && p.UrgentPart < 1, "urgent_part", "a part from 0 to below 1")
	check.Want(p.UrgentTasks >= 1 && p.UrgentTasks <= 1000, "urgent_tasks", "tasks from 1 to 1000")
	check.Want(p.Teams >= 2 && p.Teams <= mostTeams, "teams", "a count from 2 to 10000")
	check.Want(p.HottestPart >= 0.1 && p.HottestPart < 1, "hottest_part", "a part from 0.1 to below 1")
	check.Want(p.FailuresADay >= 0, "failures_a_day", "a count of 0 or more")
	check.Want(p.ReplacedADay >= 0, "replaced_a_day", "a count of 0 or more")
	check.Want(p.ChangesADay >= 0, "changes_a_day", "a count of 0 or more")
	check.Want(p.WorkersPerRack >= 1, "rack_workers", "a count above 0")
	check.Want(len(p.Regions) <= mostRegions, "region", "at most 32 regions")
	check.Want(p.Worker.Cpus > 0 && p.Worker.MemGB > 0, "worker.cpus", "CPUs and memory above 0")
	check.Want(p.Worker.BootS > 0, "worker.boot_s", "seconds above 0")
	check.Want(p.Worker.ReportS > 0 && p.Worker.LeaseS > 2*p.Worker.ReportS, "worker.lease_s", "more than two reports")
	check.Want(p.Worker.CancelS > 0, "worker.cancel_s", "seconds above 0")
	check.Want(p.Controller.PerRegion >= 1 && p.Controller.PerRegion <= 9, "controller.per_region", "a count from 1 to 9")
	check.Want(p.Controller.CPU > 0, "controller.cpu", "cores above 0")
	check.Want(p.Controller.MemMB >= 64, "controller.mem_mb", "at least 64")
	check.Want(p.Controller.MaxConnections >= 100, "controller.max_connections", "at least 100")
	check.Want(p.State.RPS > 0 && p.State.WriteRPS > 0, "state.rps", "rates above 0")
	check.Want(p.State.ValueKB >= 1, "state.value_kb", "at least 1")
	check.Want(p.State.TxnOps >= 4, "state.txn_ops", "at least 4")
	check.Want(p.State.CloudRPS > 0, "state.cloud_rps", "a rate above 0")
	check.Want(p.Delays.WithinZoneMs >= 0 && p.Delays.BetweenZonesMs >= 0, "delays", "milliseconds of 0 or more")
	if err := check.Err(); err != nil {
		return err
	}
	return p.checkRegions()
}

func (p *Profile) checkRegions() error {
	parts, seen := 0.0, map[string]bool{}
	for i, r := range p.Regions {
		field := fmt.Sprintf("region[%d].", i)
		switch {
		case r.Name == "" || seen[r.Name]:
			return &config.FieldError{Field: field + "name", Expected: "a name that no other region has"}
		case !(r.Part > 0 && r.Part <= 1):
			return &config.FieldError{Field: field + "part", Expected: "a part from above 0 to 1"}
		case r.Zones < 1 || r.Zones > mostZones:
			return &config.FieldError{Field: field + "zones", Expected: "a count from 1 to 16"}
		}
		seen[r.Name] = true
		parts += r.Part
	}
	if parts > 1+partSlack {
		return &config.FieldError{Field: "region", Expected: "parts that are no more than 1 together"}
	}
	return nil
}

// Cut says which part of the whole a run plays, where one machine can't hold all of it.
type Cut string

const (
	// Peak plays task starts at the rate of the peak.
	Peak Cut = "peak"
	// Population plays the running tasks and workers at a start rate that is lower, since tasks run for longer.
	Population Cut = "population"
	// Changes is Peak with changes of the configuration.
	Changes Cut = "changes"
	// Faults is Changes with failures, a group, a switch, a zone and ends of controllers.
	Faults Cut = "troubles"
)

// populationTaskS is how long the tasks of a Population run take, in seconds.
const populationTaskS = 300

// Cuts are all of them.
func Cuts() []Cut { return []Cut{Peak, Population, Changes, Faults} }

// Regions says which regions a run plays.
type Regions string

// The regions that a run may play.
const (
	LargestRegion Regions = "largest"
	AllRegions    Regions = "all"
)
