package config

import (
	"bytes"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the content of the settings file that the platform provides. Unknown keys are ignored.
type Settings struct {
	MemberName string `toml:"node_name"`   // this controller's name
	Zone       string `toml:"zone"`        // the zone that this controller runs in
	PublicAddr string `toml:"public_addr"` // address for users and workers, as host:port
	PeerListen string `toml:"peer_listen"` // address for other controllers and operators, as host:port

	KnownPeers []Peer     `toml:"known"` // the other controllers
	External   External   `toml:"external"`
	Deployment Deployment `toml:"deployment"`
}

// Peer describes another controller.
type Peer struct {
	MemberName string `toml:"node_name"`
	Zone       string `toml:"zone"`
	Address    string `toml:"address"` // the peer_listen address of that controller, as host:port
}

// External holds the addresses of the services that a controller calls, each as host:port.
type External struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Deployment holds the settings that are the same for all controllers.
type Deployment struct {
	Controllers int         `toml:"nodes"`        // number of controllers
	Zones       []string    `toml:"zones"`        // the names of all zones
	ClockSkewMs float64     `toml:"clock_off_ms"` // maximum error of a machine's clock, in milliseconds; two clocks differ by at most twice that
	Teams       []Team      `toml:"teams"`
	Objectives  []Objective `toml:"objectives"`
	Workers     Workers     `toml:"workers"`
	State       State       `toml:"state"`
	Cloud       Cloud       `toml:"cloud"`
	Resources   Resources   `toml:"resources"`
}

// Team holds a team's guarantee and limit; 0 means that it has none.
type Team struct {
	Name    string  `toml:"name"`
	Cpus    float64 `toml:"cpus"`     // guaranteed CPU cores
	CpusMax float64 `toml:"cpus_max"` // limit, in CPU cores
	Gpus    float64 `toml:"gpus"`     // guaranteed accelerators
	GpusMax float64 `toml:"gpus_max"` // limit, in accelerators
}

// Objective is a service-level objective for starting or finishing jobs.
type Objective struct {
	Kind    string  `toml:"kind"`     // "wait": start of jobs; "finished": end of jobs; "guarantee": work within guarantees
	Class   string  `toml:"class"`    // the job class that it applies to
	Share   float64 `toml:"share"`    // fraction of the jobs that must meet it
	Times   float64 `toml:"times"`    // time limit as a multiple of a job's own deadline; 0: WithinS applies
	WithinS float64 `toml:"within_s"` // time limit in seconds; 0: Times applies
}

// Workers holds the intervals and time-outs of workers.
type Workers struct {
	HeartbeatS float64 `toml:"report_s"`    // interval between heartbeats, in seconds
	LeaseS     float64 `toml:"lease_s"`     // lease of a worker, in seconds: without an answer for this long it stops its tasks
	GangWaitS  float64 `toml:"gang_wait_s"` // in seconds; not used, since no job shape is a gang
	GangPeerS  float64 `toml:"gang_peer_s"` // in seconds; not used, since no job shape is a gang
	CancelS    float64 `toml:"cancel_s"`    // time limit from a confirmed cancellation to the end of all its tasks, in seconds
}

// State holds the limits of the state service, which apply to all controllers together.
type State struct {
	RPS      float64 `toml:"rps"`       // requests per second
	WriteRPS float64 `toml:"write_rps"` // changes per second
	ValueKB  float64 `toml:"value_kb"`  // maximum size of a value, in KB
	TxnOps   int     `toml:"txn_ops"`   // maximum number of changes in a transaction
	// Next, if set, holds limits that will come into force later, without notice.
	Next *StateNext `toml:"next"`
}

// StateNext holds future limits of the state service, in the units of State.
type StateNext struct {
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Effective returns, for each limit, the lower of the present and the future value, so that requests
// stay within both.
func (s State) Effective() State {
	if s.Next != nil {
		s.WriteRPS = min(s.WriteRPS, s.Next.WriteRPS)
		s.ValueKB = min(s.ValueKB, s.Next.ValueKB)
		s.TxnOps = min(s.TxnOps, s.Next.TxnOps)
	}
	return s
}

// Cloud holds the limits of the cloud's API.
type Cloud struct {
	RPS      float64 `toml:"rps"`        // requests per second, for all controllers together
	ListLagS float64 `toml:"list_lag_s"` // maximum delay of the cloud's machine list, in seconds
}

// Resources holds the resources that one controller may use.
type Resources struct {
	CPU            float64 `toml:"cpu"`             // CPU cores
	MemMB          float64 `toml:"mem_mb"`          // memory, in MB
	MaxConnections int     `toml:"max_connections"` // maximum number of open sockets
}

// Load reads and validates a settings file. Its errors are one line long and name the file, the field
// and the expected value.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings %s: expected a readable file: %w", path, err)
	}
	settings, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return settings, nil
}

// Parse decodes and validates the text of a settings file.
func Parse(raw []byte) (*Settings, error) {
	var settings Settings
	if err := toml.Unmarshal(raw, &settings); err != nil {
		return nil, TOMLError(err)
	}
	if err := settings.check(); err != nil {
		return nil, err
	}
	return &settings, nil
}

// DecodeStrict decodes a TOML text and returns an error for unknown keys: a misspelt key would otherwise be
// ignored silently. Its errors are one line long and name the field and its position.
func DecodeStrict(raw []byte, into any) error {
	decoder := toml.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return TOMLError(err)
	}
	return nil
}
