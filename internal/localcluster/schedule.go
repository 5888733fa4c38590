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

// Schedule is a list of faults.
type Schedule struct {
	Faults []Fault `toml:"fault"`
}

// Fault is one fault, and when it comes.
type Fault struct {
	AtS     float64  `toml:"at_s"`  // after the start
	Kind    string   `toml:"kind"`  // see kinds
	Node    string   `toml:"node"`  // n1 to n9, or all
	ForS    float64  `toml:"for_s"` // how long it lasts
	From    []string `toml:"from"`  // of a cut: state, cloud, users, heartbeats, peers; none: all of them
	Part    float64  `toml:"part"`  // of the machines that can be met
	NoticeS float64  `toml:"notice_s"`
	Zone    string   `toml:"zone"`  // only its machines; of zone_cut, the one that is cut off
	Count   int      `toml:"count"` // machines that are next to one another by their names, in place of part
}

// cutsByName are what a controller can be cut off from. Direct commands to workers are not among them:
// a worker's port can't tell which controller speaks.
var cutsByName = map[string]simulator.Cuts{"state": simulator.NoState, "cloud": simulator.NoCloud, "users": simulator.NoUsers,
	"reports": simulator.NoWorkers, "peers": simulator.NoPeers}

// Kinds of faults.
const (
	kindCrash        = "crash"         // a controller's process is killed, and started again
	kindStill        = "still"         // a controller's process is stopped, and goes on
	kindCut          = "cut"           // a controller is cut off from what `from` names
	kindRefuse       = "refuse"        // the state service refuses one controller
	kindOutage       = "outage"        // of the state service
	kindCloudOutage  = "cloud_outage"  // of the cloud
	kindZoneCut      = "zone_cut"      // a zone is cut off from everything
	kindTaken        = "taken"         // the cloud takes spot machines back, with notice_s
	kindMachineDies  = "machine_dies"  // for good
	kindMachineHangs = "machine_hangs" // for a while
	kindMachineSick  = "machine_sick"  // it fails whatever it runs
	kindMachineCut   = "machine_cut"   // off from all controllers
)

// needs are what a fault of a kind has to name.
type needs struct{ controller, lasts, machines, zone bool }

var kinds = map[string]needs{
	kindCrash:        {controller: true},
	kindStill:        {controller: true, lasts: true},
	kindCut:          {controller: true, lasts: true},
	kindRefuse:       {controller: true, lasts: true},
	kindOutage:       {lasts: true},
	kindCloudOutage:  {lasts: true},
	kindZoneCut:      {lasts: true, zone: true},
	kindTaken:        {machines: true},
	kindMachineDies:  {machines: true},
	kindMachineHangs: {machines: true, lasts: true},
	kindMachineSick:  {machines: true, lasts: true},
	kindMachineCut:   {machines: true, lasts: true},
}

// LoadSchedule reads and checks a schedule's file as ParseSchedule does its text. Errors fit on one
// line and name file, field and what was expected.
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

// ParseSchedule reads and checks a schedule's text, which is TOML, for the cluster of Settings, and puts
// it in the order of time. A *config.FieldError says what is wrong.
func ParseSchedule(raw []byte) (*Schedule, error) {
	schedule := &Schedule{}
	if err := config.Strict(raw, schedule); err != nil {
		return nil, err
	}
	for i := range schedule.Faults {
		if err := schedule.Faults[i].check(fmt.Sprintf("fault[%d].", i)); err != nil {
			return nil, err
		}
	}
	deployment := Settings()
	if err := schedule.fits(&deployment); err != nil {
		return nil, err
	}
	schedule.Sort()
	return schedule, nil
}

// Sort puts the faults in the order of time.
func (s *Schedule) Sort() {
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return cmp.Compare(a.AtS, b.AtS) })
}

func (f *Fault) check(at string) error {
	want, known := kinds[f.Kind]
	if want.machines && f.Part == 0 && f.Count == 0 {
		f.Part = 1
	}
	unknownPart := slices.ContainsFunc(f.From, func(part string) bool {
		_, ok := cutsByName[part]
		return !ok
	})
	check := fieldcheck.Under(at)
	check.Want(known, "kind", "one of "+strings.Join(slices.Sorted(maps.Keys(kinds)), ", "))
	check.Want(f.AtS >= 0 && f.AtS <= 86400, "at_s", "seconds from 0 to 86400")
	check.Want(!want.lasts || f.ForS > 0 && f.ForS <= 86400, "for_s", "seconds from above 0 to 86400")
	check.Want(want.lasts || f.ForS == 0, "for_s", "nothing: it does not last")
	check.Want(!want.controller || controllerIndex(f.Node) != noController, "node", "n1 to n9, or all")
	check.Want(want.controller || f.Node == "", "node", "nothing: it meets no node")
	check.Want(!unknownPart && (f.Kind == kindCut || len(f.From) == 0), "from", "for a cut any of state, cloud, users, reports, peers")
	check.Want(f.Count >= 0 && (want.machines || f.Count == 0), "count", "for machines a count of 0 or more")
	check.Want(want.machines && f.Count > 0 && f.Part == 0 || want.machines && f.Part > 0 && f.Part <= 1 || !want.machines && f.Part == 0, "part", "for machines a part from above 0 to 1, or a count")
	check.Want(f.NoticeS == 0 || f.Kind == kindTaken && f.NoticeS > 0, "notice_s", "for machines that are taken seconds of 0 or more")
	check.Want(f.Zone == "" || want.machines || want.zone, "zone", "for machines a zone's name")
	check.Want(f.Zone != "" || !want.zone, "zone", "the name of the zone that is cut off")
	return check.Err()
}

// Indexes of controllers that are none.
const (
	noController   = -2
	allControllers = -1
)

// everyController names all controllers in a schedule.
const everyController = "all"

// controllerIndex is the index of the controller with a name, noController or allControllers.
func controllerIndex(name string) int {
	switch {
	case name == everyController:
		return allControllers
	case len(name) == 2 && name[0] == 'n' && name[1] >= '1' && name[1] <= '9':
		return int(name[1] - '1')
	}
	return noController
}

// fits tells whether a deployment has the controllers and zones that a schedule names.
func (s *Schedule) fits(deployment *config.Deployment) error {
	for i := range s.Faults {
		fault := &s.Faults[i]
		if controllerIndex(fault.Node) >= deployment.Controllers {
			return &config.FieldError{Field: fmt.Sprintf("fault[%d].node", i), Expected: fmt.Sprintf("one of %d nodes", deployment.Controllers)}
		}
		if fault.Zone != "" && !slices.Contains(deployment.Zones, fault.Zone) {
			return &config.FieldError{Field: fmt.Sprintf("fault[%d].zone", i), Expected: "one of " + strings.Join(deployment.Zones, ", ")}
		}
	}
	return nil
}
