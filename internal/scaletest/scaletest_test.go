package scaletest

import (
	"bytes"
	"math"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"dykeledge/internal/protocol"
)

func TestProfile(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{"", ""},
		{"workers = 60\n[[region]]\nname = \"a\"\npart = 0.6\nzones = 2\n", ""},
		{"workers = 0\n", "workers"},
		{"workerz = 1\n", "workerz"},
		{"teams = 1\n", "teams"},
		{"urgent_part = 1.0\n", "urgent_part"},
		{"[worker]\nlease_s = 2.0\n", "worker.lease_s"},
		{"[[region]]\nname = \"a\"\npart = 0.6\nzones = 2\n[[region]]\nname = \"a\"\npart = 0.1\nzones = 2\n", "region[1].name"},
		{"[[region]]\nname = \"a\"\npart = 0.6\nzones = 2\n[[region]]\nname = \"b\"\npart = 0.6\nzones = 2\n", "region"},
		{"[[region]]\nname = \"a\"\npart = 0.6\nzones = 0\n", "region[0].zones"},
	} {
		t.Run("error "+strconv.Quote(test.want), func(t *testing.T) {
			_, err := ParseProfile([]byte(test.text))
			if (err == nil) != (test.want == "") || err != nil && (!strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n")) {
				t.Errorf("profile %q: error %v, want one line that contains %q", test.text, err, test.want)
			}
		})
	}
}

// TestCells checks that the cells of all regions add up to the whole profile and use each zone once, and that a run of
// the largest region at a quarter of the size has a quarter of that region's workers.
func TestCells(t *testing.T) {
	profile := DefaultProfile()
	workers, running, zones, starts := 0, 0, map[string]bool{}, 0.0
	for _, cell := range profile.Cells(Request{Scenario: Peak, Regions: AllRegions, Fraction: 1}) {
		workers, running, starts = workers+cell.Workers, running+cell.Running, starts+cell.StartsPerS
		for _, z := range cell.Zones {
			zones[z] = true
		}
		limits := 0.0
		for _, team := range cell.teams() {
			if !team.urgent {
				limits += team.limit
			}
		}
		if math.Abs(limits/float64(cell.Running)-1) > 0.05 {
			t.Errorf("%s: the limits of the teams with arrays add up to %.0f CPUs, want %d, one per running task", cell.Region, limits, cell.Running)
		}
	}
	if workers != profile.Workers || running != profile.RunningTasks || len(zones) != 22 || math.Abs(starts-profile.StartsPerS) > 1 {
		t.Errorf("all cells have %d workers, %d tasks, %d zones and %.0f starts per second, want those of the profile", workers, running, len(zones), starts)
	}
	if cells := profile.Cells(Request{Scenario: Peak, Regions: LargestRegion, Fraction: 0.25}); len(cells) != 1 || cells[0].Workers != 1190 {
		t.Errorf("the largest region at a quarter of the size: %+v, want one cell with 1190 workers", cells)
	}
}

// TestArrivals checks that the same seed yields the same jobs, that all jobs are valid and none exceeds the largest size,
// and that a tenth of the teams has half of the backlog.
func TestArrivals(t *testing.T) {
	profile := DefaultProfile()
	cell := profile.Cells(Request{Scenario: Peak, Regions: LargestRegion, Fraction: 1, Seed: 3, WarmUpS: 20, MeasureS: 40})[0]
	jobs := cell.Arrivals()
	if !reflect.DeepEqual(jobs, cell.Arrivals()) {
		t.Error("the same seed yields different jobs")
	}
	byTeam, all, ids := map[string]int{}, 0, map[string]bool{}
	for i, arrival := range jobs {
		raw, err := protocol.EncodeSubmission(&arrival.Job)
		if err == nil {
			_, err = protocol.ParseSubmission(raw)
		}
		if err != nil || arrival.Job.Tasks > cell.LargestJob || ids[arrival.Job.ID] || i > 0 && arrival.At < jobs[i-1].At {
			t.Fatalf("job %+v is invalid, too large, a duplicate or out of order: %v", arrival.Job, err)
		}
		ids[arrival.Job.ID] = true
		if arrival.Job.Class == arrayClass && arrival.At.Seconds() < backlogSubmitS {
			byTeam[arrival.Job.Team] += arrival.Job.Tasks
			all += arrival.Job.Tasks
		}
	}
	hottest := 0
	for _, team := range cell.teams()[:46] {
		hottest += byTeam[team.name]
	}
	if part := float64(hottest) / float64(all); math.Abs(part-profile.HottestPart) > 0.05 {
		t.Errorf("the busiest tenth of the teams has %.2f of the work, want the part that the profile states", part)
	}
}

func TestFitLine(t *testing.T) {
	x := []float64{1, 2, 4, 8, 16}
	of := func(f func(float64) float64) (y []float64) {
		for _, v := range x {
			y = append(y, f(v))
		}
		return y
	}
	for _, test := range []struct {
		name   string
		x, y   []float64
		ok     bool
		growth string
	}{
		{"line", x, of(func(v float64) float64 { return 3 + 2*v }), true, "line"},
		{"square", x, of(func(v float64) float64 { return v * v }), true, "no line: power 2.00"},
		{"square root", x, of(math.Sqrt), true, "no line: power 0.50"},
		{"flat", x, []float64{5, 5.2, 4.9, 5.1, 5}, true, "flat"},
		{"three sizes", []float64{1, 2, 4, 4}, []float64{1, 2, 4, 4}, false, ""},
		{"all values zero", x, make([]float64, 5), false, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			line, ok := fitLine(test.x, test.y)
			if ok != test.ok || ok && line.growth() != test.growth {
				t.Errorf("fitted %+v with growth %q, ok %v", line, line.growth(), ok)
			}
			if test.growth == "line" && (math.Abs(line.Slope-2) > 1e-9 || math.Abs(line.Intercept-3) > 1e-9) {
				t.Errorf("fitted %+v, want slope 2 and intercept 3", line)
			}
		})
	}
}

func TestParseCountersAndCPUTime(t *testing.T) {
	got, err := parseCounters([]byte("# TYPE dykeledge_launches_total counter\ndykeledge_launches_total 7\n# TYPE dykeledge_leader gauge\ndykeledge_leader 1\n" +
		"# TYPE dykeledge_service_requests_total counter\ndykeledge_service_requests_total{service=\"cloud\",outcome=\"ok\"} 3\n" +
		"dykeledge_service_requests_total{service=\"state\",outcome=\"ok\"} 9\n"))
	if want := (counters{launches: 7, cloud: 3, leader: true}); err != nil || got != want || got.role() != Leader {
		t.Errorf("parsed %+v, %v", got, err)
	}
	if _, err := parseCounters([]byte("no metrics {")); err == nil {
		t.Error("parseCounters accepted a text that is not in the metrics format")
	}
	cpu, err := cpuOf([]byte("12 (a (b) c) S 1 1 1 0 -1 0 0 0 0 0 150 50 0 0 20 0 9 0"))
	if err != nil || cpu.Seconds() != 2 {
		t.Errorf("CPU time %v, %v, want 2 s", cpu, err)
	}
}

// TestCapacityPageTables checks that the capacity page contains the tables that Report prints from the stored points.
func TestCapacityPageTables(t *testing.T) {
	points, err := ReadPoints("../../docs/scale")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	var tables bytes.Buffer
	if err := Report(&tables, points); err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(page, tables.Bytes()) {
		t.Error("docs/CAPACITY.md does not hold what `dykectl scale report` prints")
	}
}
