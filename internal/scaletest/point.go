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

// Point holds the measurements of one cell in one run. Rates are means over the measured time. Points are stored as lines
// of the files in docs/scale, from which the tables of docs/CAPACITY.md are printed.
type Point struct {
	Run               string    `json:"run"`
	Commit            string    `json:"commit"`
	At                time.Time `json:"at"`
	Scenario          Scenario  `json:"cut"`
	Fraction          float64   `json:"fraction"`
	Region            string    `json:"region"`
	Seed              uint64    `json:"seed"`
	Workers           int       `json:"workers"`   // number of workers requested
	WorkersUp         int       `json:"up"`        // number of workers running at the end
	OfferedStartsPerS float64   `json:"offered_s"` // task starts per second that the load offers
	MeasureS          float64   `json:"measure_s"`

	StartsPerS      float64      `json:"starts_per_s"`
	Running         int          `json:"running"`       // tasks running at the end
	LongestGapS     float64      `json:"longest_gap_s"` // longest time without a task start
	LeaseKills      int          `json:"lease_kills"`   // tasks that workers killed when their lease expired
	UnexpectedExits int          `json:"ends"`          // unexpected exits of controllers
	BrokenRules     []string     `json:"broken_rules"`
	UrgentWaitMs    Distribution `json:"urgent_ms"`    // from the submission of an urgent task to its launch on a worker
	AcceptMs        Distribution `json:"accept_ms"`    // from the first try of a submission to its acceptance
	Retries         int          `json:"retries"`      // retried requests of users
	LatenessMs      Distribution `json:"lateness_ms"`  // lateness of the hollow side's timers
	HollowCores     float64      `json:"hollow_cores"` // CPU usage of the hollow side, in cores
	HollowMB        float64      `json:"hollow_mb"`    // resident memory of the hollow side at the end
	Overloaded      bool         `json:"overloaded"`   // the hollow side was overloaded, so figures of controllers are not valid
	HostLoad        float64      `json:"host_load"`    // load average of the host at the end
	StateKeys       int          `json:"state_keys"`
	StateBytes      int          `json:"state_bytes"`
	WritesPerS      float64      `json:"writes_per_s"`       // write transactions of the state service
	ThrottledPerS   float64      `json:"over_per_s"`         // requests that the state service refused because of its rate limit
	UserConns       int64        `json:"user_conns"`         // connections that users opened to the load balancer
	WorkerOutBps    float64      `json:"worker_out_bytes_s"` // bytes per second that a worker sends, HTTP headers included
	WorkerInBps     float64      `json:"worker_in_bytes_s"`  // bytes per second that a worker receives, HTTP headers included
	HeartbeatsPerS  float64      `json:"reports_per_s"`      // heartbeats of one worker
	CommandsPerS    float64      `json:"commands_per_s"`     // direct commands to one worker

	ChangesMade   int          `json:"changes_made,omitempty"`   // changes of teams' guarantees and limits
	ChangesFailed int          `json:"changes_failed,omitempty"` // changes that were not in force within a minute
	ChangeMs      Distribution `json:"change_ms,omitzero"`       // time until a changed guarantee was in force on all controllers of the cell
	LowerMs       Distribution `json:"lower_ms,omitzero"`        // the same for lowered limits

	Controllers []ControllerPoint `json:"controllers"`
}

// ControllerPoint holds the resource usage of one controller of a cell. If Uninterrupted is false, the controller is
// marked in the table of controllers and left out of the fits by role.
type ControllerPoint struct {
	Name          string  `json:"name"`
	Role          Role    `json:"role"`
	Uninterrupted bool    `json:"whole"` // the process, its role and its number of shards did not change, and both scrapes succeeded
	Shards        int     `json:"partitions"`
	Cores         float64 `json:"cores"`
	PlanCores     float64 `json:"plan_cores"` // part of Cores that planning uses
	MemMB         float64 `json:"mem_mb"`     // peak of resident memory
	Sockets       int     `json:"sockets"`    // peak number of open sockets
	Threads       int     `json:"threads"`    // peak number of threads
	HeartbeatsS   float64 `json:"reports_s"`  // answered heartbeats per second
	LaunchesS     float64 `json:"launches_s"` // launches of tasks per second
	ReadsS        float64 `json:"reads_s"`    // requests to the state service per second, by kind
	TxnsS         float64 `json:"txns_s"`
	LeasesS       float64 `json:"leases_s"`
	WatchesS      float64 `json:"follows_s"`
	StateInS      float64 `json:"state_in_s"`   // bytes per second sent to the state service
	StateOutS     float64 `json:"state_out_s"`  // bytes per second received from the state service
	CloudS        float64 `json:"cloud_s"`      // requests to the cloud per second
	PeerBytesS    float64 `json:"peer_bytes_s"` // bytes per second, both ways, over connections to peers that this controller opened
}

// Role is the role of a controller in its cell.
type Role string

// The roles of controllers. A leader usually owns shards, too.
const (
	Leader Role = "leader"
	Owner  Role = "owner"  // owns shards, but is not the leader
	Member Role = "member" // owns no shard
)

// Distribution summarizes a distribution of times in milliseconds.
type Distribution struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// maxRecordedMicros is the largest value that a histogram records, in microseconds: ten minutes. Longer times count as this
// one.
const maxRecordedMicros = 600_000_000

// newHistogram returns a histogram of times in microseconds.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecordedMicros, 3) }

// record adds a time to a histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, min(maxRecordedMicros, d.Microseconds()))) // no error: the value is within the bounds
}

// distributionOf summarizes a histogram.
func distributionOf(h *hdrhistogram.Histogram) Distribution {
	millis := func(v int64) float64 { return float64(v) / 1000 }
	return Distribution{h.TotalCount(), millis(h.ValueAtQuantile(50)), millis(h.ValueAtQuantile(99)), millis(h.Max())}
}

// Write writes the point as one line of JSON.
func (p *Point) Write(w io.Writer) error {
	raw, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("encode a point: %w", err)
	}
	_, err = w.Write(append(raw, '\n'))
	return err
}

// ReadPoints reads the points of all files *.jsonl in dir, in the order of the file names and of their lines. Errors name
// the file and the line.
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
		points, err := readPointsFile(name)
		if err != nil {
			return nil, err
		}
		out = append(out, points...)
	}
	return out, nil
}

// maxLineBytes is the largest size of a line that readPointsFile accepts, in bytes.
const maxLineBytes = 4 << 20

// readPointsFile reads the points of one file.
func readPointsFile(name string) ([]Point, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // it was only read
	var out []Point
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLineBytes)
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
