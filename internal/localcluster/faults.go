package localcluster

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/simulator"
)

// Schedule is a list of troubles.
type Schedule struct {
	Faults []Fault `toml:"fault"`
}

// Fault is one trouble, and when it comes.
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

// partitions are what a controller can be cut off from. Direct commands to workers are not among them:
// a worker's port can't tell which controller speaks.
var partitions = map[string]simulator.Cuts{"state": simulator.NoState, "cloud": simulator.NoCloud, "users": simulator.NoUsers,
	"reports": simulator.NoWorkers, "peers": simulator.NoPeers}

// What a fault of a kind needs.
type needs struct{ node, lasts, machines, zone bool }

var kinds = map[string]needs{
	"crash":         {node: true},                  // the process is killed, and started again
	"still":         {node: true, lasts: true},     // it is stopped, and goes on
	"cut":           {node: true, lasts: true},     // off from what `from` names
	"refuse":        {node: true, lasts: true},     // by the state service, alone
	"outage":        {lasts: true},                 // of the state service
	"cloud_outage":  {lasts: true},                 //
	"zone_cut":      {lasts: true, zone: true},     // a zone is cut off from everything
	"taken":         {machines: true},              // spot machines, by the cloud, with notice_s
	"machine_dies":  {machines: true},              //
	"machine_hangs": {machines: true, lasts: true}, //
	"machine_sick":  {machines: true, lasts: true}, // fails whatever it runs
	"machine_cut":   {machines: true, lasts: true}, // off from all controllers
}

// LoadSchedule reads and checks a schedule. Errors fit on one line and name file, field and
// what was expected.
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

// ParseSchedule reads and checks a schedule's text for the cluster of Settings, and puts it in the order of time.
func ParseSchedule(raw []byte) (*Schedule, error) {
	schedule := &Schedule{}
	if err := config.Strict(raw, schedule); err != nil {
		return nil, err
	}
	for i := range schedule.Faults {
		f := &schedule.Faults[i]
		if err := f.check(fmt.Sprintf("fault[%d].", i)); err != nil {
			return nil, err
		}
	}
	d := Settings()
	if err := schedule.fits(&d); err != nil {
		return nil, err
	}
	schedule.Sort()
	return schedule, nil
}

// Sort puts the troubles in the order of time.
func (s *Schedule) Sort() {
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return cmp.Compare(a.AtS, b.AtS) })
}

func (f *Fault) check(at string) error {
	want, known := kinds[f.Kind]
	if want.machines && f.Part == 0 && f.Count == 0 {
		f.Part = 1
	}
	from := ""
	for _, x := range f.From {
		if _, ok := partitions[x]; !ok {
			from = x
		}
	}
	for _, c := range []struct {
		ok              bool
		field, expected string
	}{
		{known, "kind", "one of " + strings.Join(slices.Sorted(maps.Keys(kinds)), ", ")},
		{f.AtS >= 0 && f.AtS <= 86400, "at_s", "seconds from 0 to 86400"},
		{!want.lasts || f.ForS > 0 && f.ForS <= 86400, "for_s", "seconds from above 0 to 86400"},
		{want.lasts || f.ForS == 0, "for_s", "nothing: it does not last"},
		{!want.node || controllerIndex(f.Node) != none, "node", "n1 to n9, or all"},
		{want.node || f.Node == "", "node", "nothing: it meets no node"},
		{from == "" && (f.Kind == "cut" || len(f.From) == 0), "from", "for a cut any of state, cloud, users, reports, peers"},
		{f.Count >= 0 && (want.machines || f.Count == 0), "count", "for machines a count of 0 or more"},
		{want.machines && f.Count > 0 && f.Part == 0 || want.machines && f.Part > 0 && f.Part <= 1 || !want.machines && f.Part == 0, "part",
			"for machines a part from above 0 to 1, or a count"},
		{f.NoticeS == 0 || f.Kind == "taken" && f.NoticeS > 0, "notice_s", "for machines that are taken seconds of 0 or more"},
		{f.Zone == "" || want.machines || want.zone, "zone", "for machines a zone's name"},
		{f.Zone != "" || !want.zone, "zone", "the name of the zone that is cut off"},
	} {
		if !c.ok {
			return &config.FieldError{Field: at + c.field, Expected: c.expected}
		}
	}
	return nil
}

const (
	none = -2
	all  = -1
)

func controllerIndex(name string) int {
	switch {
	case name == "all":
		return all
	case len(name) == 2 && name[0] == 'n' && name[1] >= '1' && name[1] <= '9':
		return int(name[1] - '1')
	}
	return none
}

// fits tells whether a deployment has the controllers and zones that a schedule names.
func (s *Schedule) fits(d *config.Deployment) error {
	for i := range s.Faults {
		f := &s.Faults[i]
		if controllerIndex(f.Node) >= d.Controllers {
			return &config.FieldError{Field: fmt.Sprintf("fault[%d].node", i), Expected: fmt.Sprintf("one of %d nodes", d.Controllers)}
		}
		if f.Zone != "" && !slices.Contains(d.Zones, f.Zone) {
			return &config.FieldError{Field: fmt.Sprintf("fault[%d].zone", i), Expected: "one of " + strings.Join(d.Zones, ", ")}
		}
	}
	return nil
}

// play brings the troubles about, each at its time, until ctx ends.
func (s *Schedule) play(ctx context.Context, cluster *Cluster, log *slog.Logger) {
	began := time.Now()
	for i := range s.Faults {
		fault := &s.Faults[i]
		if !sleepUntil(ctx, began.Add(seconds(fault.AtS))) {
			return
		}
		log.Info("trouble begins", "kind", fault.Kind, "node", fault.Node, "for_s", fault.ForS, "part", fault.Part)
		end := fault.begin(cluster)
		if end == nil {
			continue
		}
		go func() {
			if sleepUntil(ctx, time.Now().Add(seconds(fault.ForS))) {
				end()
				log.Info("trouble is over", "kind", fault.Kind, "node", fault.Node)
			}
		}()
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// begin brings a trouble about and returns what ends it, nil if nothing does.
func (f *Fault) begin(cluster *Cluster) (end func()) {
	nodes := []int{controllerIndex(f.Node)}
	if f.Node == "all" {
		nodes = nodes[:0]
		for i := range cluster.processes {
			nodes = append(nodes, i)
		}
	}
	each := func(do func(i int)) {
		for _, i := range nodes {
			do(i)
		}
	}
	sim := cluster.Simulation
	switch f.Kind {
	case "crash":
		each(func(i int) { cluster.processes[i].kill() })
	case "still":
		each(func(i int) { cluster.processes[i].stopped(true) })
		return func() { each(func(i int) { cluster.processes[i].stopped(false) }) }
	case "cut":
		var what simulator.Cuts
		for _, x := range f.From {
			what |= partitions[x]
		}
		if len(f.From) == 0 {
			what = simulator.AllCut | simulator.NoPeers
		}
		each(func(i int) { sim.Controller(i).Cut(what) })
		return func() { each(func(i int) { sim.Controller(i).Cut(0) }) }
	case "refuse":
		each(func(i int) { sim.Store.Deny(sim.Controller(i).Name, true) })
		return func() { each(func(i int) { sim.Store.Deny(sim.Controller(i).Name, false) }) }
	case "outage":
		sim.Store.SetDown(true)
		return func() { sim.Store.SetDown(false) }
	case "cloud_outage":
		sim.SetCloudDown(true)
		return func() { sim.SetCloudDown(false) }
	case "zone_cut":
		sim.PartitionZone(f.Zone)
		return func() { sim.PartitionZone("") }
	}
	met := f.meets(sim)
	on := func(change func(bool) func(*simulator.Machine)) func() {
		for _, m := range met {
			sim.Set(m, change(true))
		}
		return func() {
			for _, m := range met {
				sim.Set(m, change(false))
			}
		}
	}
	switch f.Kind {
	case "taken":
		for _, m := range met {
			sim.Set(m, simulator.PreemptionNotice(seconds(f.NoticeS)))
		}
	case "machine_dies":
		for _, m := range met {
			sim.Die(m)
		}
	case "machine_hangs":
		return on(simulator.HangingMachine)
	case "machine_sick":
		return on(simulator.UnhealthyMachine)
	case "machine_cut":
		return on(simulator.CutOff)
	}
	return nil
}

// meets chooses the machines that a trouble meets.
func (f *Fault) meets(w *simulator.Simulation) []*simulator.Machine {
	var may []*simulator.Machine
	for _, m := range w.Machines() {
		if (f.Zone == "" || f.Zone == m.Zone) && (f.Kind != "taken" || m.Spot) {
			may = append(may, m)
		}
	}
	if f.Count > 0 {
		from := w.Random.IntN(max(1, len(may)-f.Count+1))
		return may[from:min(len(may), from+f.Count)]
	}
	return slices.DeleteFunc(may, func(*simulator.Machine) bool { return w.Random.Float64() >= f.Part })
}
