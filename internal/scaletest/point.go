package scaletest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Point is what one cell measured in one run. Rates are means over the measured time. A point is one line of a file in
// docs/scale, from which the tables of docs/CAPACITY.md are printed.
type Point struct {
	Run      string    `json:"run"`
	Commit   string    `json:"commit"`
	At       time.Time `json:"at"`
	Cut      Cut       `json:"cut"`
	Fraction float64   `json:"fraction"`
	Region   string    `json:"region"`
	Seed     uint64    `json:"seed"`
	Workers  int       `json:"workers"`   // asked for
	Up       int       `json:"up"`        // up at the end
	OfferedS float64   `json:"offered_s"` // task starts a second that were offered
	MeasureS float64   `json:"measure_s"`

	StartsPerS     float64  `json:"starts_per_s"`
	Running        int      `json:"running"` // at the end
	LongestGapS    float64  `json:"longest_gap_s"`
	LeaseKills     int      `json:"lease_kills"`
	Ends           int      `json:"ends"` // controllers that ended by themselves
	BrokenRules    []string `json:"broken_rules"`
	UrgentMs       Span     `json:"urgent_ms"`    // from submission to the launch at the worker
	AcceptMs       Span     `json:"accept_ms"`    // until a submission was answered, retries included
	Retries        int      `json:"retries"`      // users' requests that were repeated
	LatenessMs     Span     `json:"lateness_ms"`  // of the hollow side's timers
	HollowCores    float64  `json:"hollow_cores"` // processor time of the hollow side
	HollowMB       float64  `json:"hollow_mb"`
	Overloaded     bool     `json:"overloaded"` // the hollow side was: the rest says nothing of the controllers
	HostLoad       float64  `json:"host_load"`  // of the machine that played it, at the end
	StateKeys      int      `json:"state_keys"`
	StateBytes     int      `json:"state_bytes"`
	WritesPerS     float64  `json:"writes_per_s"`
	OverPerS       float64  `json:"over_per_s"`         // requests that the state service refused for their rate
	UserConns      int64    `json:"user_conns"`         // opened
	WorkerOutBps   float64  `json:"worker_out_bytes_s"` // of one worker, with HTTP's headers
	WorkerInBps    float64  `json:"worker_in_bytes_s"`
	HeartbeatsPerS float64  `json:"reports_per_s"`  // of one worker
	CommandsPerS   float64  `json:"commands_per_s"` // to one worker

	ChangesMade   int  `json:"changes_made,omitempty"`   // of teams' guarantees and limits
	ChangesFailed int  `json:"changes_failed,omitempty"` // not in force within a minute
	ChangeMs      Span `json:"change_ms,omitzero"`       // until a change is in force on all controllers of the cell
	LowerMs       Span `json:"lower_ms,omitzero"`        // the same of limits that are lowered below what the team may use

	Controllers []ControllerPoint `json:"controllers"`
}

// ControllerPoint is what one controller of a cell cost. It is left out of tables if it was not there all the time.
type ControllerPoint struct {
	Name        string  `json:"name"`
	Role        Role    `json:"role"`
	Whole       bool    `json:"whole"` // one process all the time, in one role
	Shards      int     `json:"partitions"`
	Cores       float64 `json:"cores"`
	PlanCores   float64 `json:"plan_cores"` // of these, for planning
	MemMB       float64 `json:"mem_mb"`     // resident, the most
	Sockets     int     `json:"sockets"`    // the most
	Threads     int     `json:"threads"`
	HeartbeatsS float64 `json:"reports_s"`
	LaunchesS   float64 `json:"launches_s"`
	ReadsS      float64 `json:"reads_s"` // requests to the state service, by kind
	TxnsS       float64 `json:"txns_s"`
	LeasesS     float64 `json:"leases_s"`
	WatchesS    float64 `json:"follows_s"`
	StateInS    float64 `json:"state_in_s"` // bytes that the state service got and gave
	StateOutS   float64 `json:"state_out_s"`
	CloudS      float64 `json:"cloud_s"`      // requests
	PeerBytesS  float64 `json:"peer_bytes_s"` // both ways, over connections that it opened
}

// Role is what a controller does in its cell.
type Role string

// The roles. A leader mostly owns partitions too.
const (
	Leader Role = "leader"
	Owner  Role = "owner"
	Member Role = "member" // without a partition
)

// Span tells of a distribution, in milliseconds.
type Span struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Histograms count microseconds up to ten minutes.
const longestMicros = 600_000_000

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestMicros, 3) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, min(longestMicros, d.Microseconds()))) // within its bounds
}

func spanOf(h *hdrhistogram.Histogram) Span {
	millis := func(v int64) float64 { return float64(v) / 1000 }
	return Span{h.TotalCount(), millis(h.ValueAtQuantile(50)), millis(h.ValueAtQuantile(99)), millis(h.Max())}
}

// Write adds a point to a file, which is made if need be.
func (p *Point) Write(w io.Writer) error {
	raw, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("point: %w", err)
	}
	_, err = w.Write(append(raw, '\n'))
	return err
}

// ReadPoints reads the points of all files *.jsonl of a folder, in the files' and their own order. Errors name file and line.
func ReadPoints(dir string) ([]Point, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.jsonl"))
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("points: expected files *.jsonl in %s", dir)
	}
	slices.Sort(files)
	var out []Point
	for _, name := range files {
		points, err := readFile(name)
		if err != nil {
			return nil, err
		}
		out = append(out, points...)
	}
	return out, nil
}

const longestLine = 4 << 20

func readFile(name string) ([]Point, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // only read
	var out []Point
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, longestLine)
	for n := 1; lines.Scan(); n++ {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		var p Point
		if err := json.Unmarshal(lines.Bytes(), &p); err != nil {
			return nil, fmt.Errorf("points %s, line %d: %w", filepath.Base(name), n, err)
		}
		out = append(out, p)
	}
	return out, lines.Err()
}
