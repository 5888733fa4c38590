package localcluster

import (
	"cmp"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"dykeledge/internal/config"
	"dykeledge/internal/fieldcheck"
	"dykeledge/internal/simulator"
)

// Schedule is a list of faults to inject into a cluster.
type Schedule struct {
	Faults []Fault `toml:"fault"`
}

// Fault describes one fault and its time.
type Fault struct {
	AtS         float64  `toml:"at_s"`     // start, in seconds from the start of the schedule
	Kind        string   `toml:"kind"`     // one of the constants below
	Controller  string   `toml:"node"`     // the controller: n1 to n9, or all
	DurationS   float64  `toml:"for_s"`    // duration in seconds
	Connections []string `toml:"from"`     // of a cut: connections to sever, of state, cloud, users, reports, peers; empty: all of them
	Fraction    float64  `toml:"part"`     // probability that the fault applies to a machine that matches kind and zone
	NoticeS     float64  `toml:"notice_s"` // of a reclaimed spot machine: seconds from the notice to the end
	Zone        string   `toml:"zone"`     // limits the fault to machines in this zone; of zone_cut: the partitioned zone
	Count       int      `toml:"count"`    // instead of part: number of machines, with adjacent names, that the fault applies to
}

// connectionsByName maps the names in a fault's field from to the connections of a controller that a fault can sever.
// Direct commands to workers are not among them: a worker's port can't tell which controller a request comes from.
var connectionsByName = map[string]simulator.Partitions{"state": simulator.NoState, "cloud": simulator.NoCloud, "users": simulator.NoUsers,
	"reports": simulator.NoWorkers, "peers": simulator.NoPeers}

// Kinds of faults.
const (
	kindCrash            = "crash"         // a controller process is killed and restarted
	kindSuspend          = "still"         // a controller process is suspended and continued
	kindPartition        = "cut"           // a controller loses the connections that the field from names
	kindStateRefusal     = "refuse"        // the state service answers a controller with 503
	kindStateOutage      = "outage"        // the state service is down
	kindCloudOutage      = "cloud_outage"  // the cloud's API is down
	kindZonePartition    = "zone_cut"      // a zone is partitioned from the rest of the cluster
	kindSpotReclaim      = "taken"         // the cloud reclaims spot machines with a notice of notice_s
	kindMachineDies      = "machine_dies"  // machines fail permanently
	kindMachineHangs     = "machine_hangs" // machines hang for for_s
	kindMachineUnhealthy = "machine_sick"  // machines are unhealthy: every task on them fails
	kindMachinePartition = "machine_cut"   // machines lose the connection to all controllers
)

// requiredFields lists what a fault of a kind must state: the controller it applies to, its duration, the machines it
// applies to, and the zone.
type requiredFields struct{ controller, duration, machines, zone bool }

// requiredByKind holds the required fields of each kind of fault.
var requiredByKind = map[string]requiredFields{
	kindCrash:            {controller: true},
	kindSuspend:          {controller: true, duration: true},
	kindPartition:        {controller: true, duration: true},
	kindStateRefusal:     {controller: true, duration: true},
	kindStateOutage:      {duration: true},
	kindCloudOutage:      {duration: true},
	kindZonePartition:    {duration: true, zone: true},
	kindSpotReclaim:      {machines: true},
	kindMachineDies:      {machines: true},
	kindMachineHangs:     {machines: true, duration: true},
	kindMachineUnhealthy: {machines: true, duration: true},
	kindMachinePartition: {machines: true, duration: true},
}

// LoadSchedule reads a schedule's file and parses it with ParseSchedule. Errors fit on one line and name the file, the
// field and what was expected.
func LoadSchedule(path string) (*Schedule, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("faults %s: expected a readable file: %w", path, err)
	}
	s, err := ParseSchedule(raw)
	if err != nil {
		return nil, fmt.Errorf("faults %s: %w", path, err)
	}
	return s, nil
}

// ParseSchedule decodes a schedule from TOML, validates it for a cluster with the deployment of Settings, and sorts it by
// time. The error for an invalid field wraps a *config.FieldError.
func ParseSchedule(raw []byte) (*Schedule, error) {
	schedule := &Schedule{}
	if err := config.DecodeStrict(raw, schedule); err != nil {
		return nil, err
	}
	for i := range schedule.Faults {
		if err := schedule.Faults[i].check(fmt.Sprintf("fault[%d].", i)); err != nil {
			return nil, err
		}
	}
	deployment := Settings()
	if err := schedule.validateFor(&deployment); err != nil {
		return nil, err
	}
	schedule.Sort()
	return schedule, nil
}

// Sort sorts the faults by time.
func (s *Schedule) Sort() {
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return cmp.Compare(a.AtS, b.AtS) })
}

// check validates a fault and fills in the default of Fraction; prefix is put before the names of
// fields in errors.
func (f *Fault) check(prefix string) error {
	required, validKind := requiredByKind[f.Kind]
	if required.machines && f.Fraction == 0 && f.Count == 0 {
		f.Fraction = 1
	}
	unknownPart := slices.ContainsFunc(f.Connections, func(part string) bool {
		_, ok := connectionsByName[part]
		return !ok
	})
	check := fieldcheck.WithPrefix(prefix)
	check.Require(validKind, "kind", "one of "+strings.Join(slices.Sorted(maps.Keys(requiredByKind)), ", "))
	check.Require(f.AtS >= 0 && f.AtS <= 86400, "at_s", "seconds from 0 to 86400")
	check.Require(!required.duration || f.DurationS > 0 && f.DurationS <= 86400, "for_s", "seconds from above 0 to 86400")
	check.Require(required.duration || f.DurationS == 0, "for_s", "no value: this kind of fault has no duration")
	check.Require(!required.controller || controllerIndex(f.Controller) != noController, "node", "n1 to n9, or all")
	check.Require(required.controller || f.Controller == "", "node", "no value: this kind of fault applies to no node")
	check.Require(!unknownPart && (f.Kind == kindPartition || len(f.Connections) == 0), "from", "for a cut any of state, cloud, users, reports, peers")
	check.Require(f.Count >= 0 && (required.machines || f.Count == 0), "count", "for machines a count of 0 or more")
	check.Require(required.machines && f.Count > 0 && f.Fraction == 0 || required.machines && f.Fraction > 0 && f.Fraction <= 1 || !required.machines && f.Fraction == 0, "part", "for machines a fraction from above 0 to 1, or a count")
	check.Require(f.NoticeS == 0 || f.Kind == kindSpotReclaim && f.NoticeS > 0, "notice_s", "for machines that are taken, seconds of 0 or more")
	check.Require(f.Zone == "" || required.machines || required.zone, "zone", "no value, or for machines the name of a zone")
	check.Require(f.Zone != "" || !required.zone, "zone", "the name of the zone to partition")
	return check.Err()
}

// Results of controllerIndex that are not an index.
const (
	noController   = -2 // the name is invalid
	allControllers = -1
)

// allControllersName is the name that stands for all controllers in a schedule.
const allControllersName = "all"

// controllerIndex returns the index of the controller with a name (0 for n1), allControllers or noController.
func controllerIndex(name string) int {
	switch {
	case name == allControllersName:
		return allControllers
	case len(name) == 2 && name[0] == 'n' && name[1] >= '1' && name[1] <= '9':
		return int(name[1] - '1')
	}
	return noController
}

// validateFor returns an error if the schedule names a controller or zone that the deployment does not have.
func (s *Schedule) validateFor(deployment *config.Deployment) error {
	for i := range s.Faults {
		fault := &s.Faults[i]
		if controllerIndex(fault.Controller) >= deployment.Controllers {
			return &config.FieldError{Field: fmt.Sprintf("fault[%d].node", i), Expected: fmt.Sprintf("one of %d nodes", deployment.Controllers)}
		}
		if fault.Zone != "" && !slices.Contains(deployment.Zones, fault.Zone) {
			return &config.FieldError{Field: fmt.Sprintf("fault[%d].zone", i), Expected: "one of " + strings.Join(deployment.Zones, ", ")}
		}
	}
	return nil
}
