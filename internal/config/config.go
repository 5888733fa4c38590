package config

import (
	"bytes"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the platform's file. Keys that are not named here are ignored.
type Settings struct {
	MemberName string `toml:"node_name"`   // this controller's name
	Zone       string `toml:"zone"`        // the zone that it runs in
	PublicAddr string `toml:"public_addr"` // where users and workers reach it, as host:port
	PeerListen string `toml:"peer_listen"` // where other controllers and operators reach it, as host:port

	Known      []Peer     `toml:"known"` // the other controllers
	External   External   `toml:"external"`
	Deployment Deployment `toml:"deployment"`
}

// Peer is another controller.
type Peer struct {
	MemberName string `toml:"node_name"`
	Zone       string `toml:"zone"`
	Address    string `toml:"address"` // its peer_listen, as host:port
}

// External names the services that a controller calls, each as host:port.
type External struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Deployment describes what is the same for all controllers.
type Deployment struct {
	Controllers int         `toml:"nodes"`        // how many there are
	Zones       []string    `toml:"zones"`        // the names of all zones
	ClockSkewMs float64     `toml:"clock_off_ms"` // how far a clock may be off, in milliseconds; two differ by up to twice that
	Teams       []Team      `toml:"teams"`
	Objectives  []Objective `toml:"objectives"`
	Workers     Workers     `toml:"workers"`
	State       State       `toml:"state"`
	Cloud       Cloud       `toml:"cloud"`
	Resources   Resources   `toml:"resources"`
}

// Team is a team with its guarantee and its limit (0: none).
type Team struct {
	Name    string  `toml:"name"`
	Cpus    float64 `toml:"cpus"`     // guaranteed cores
	CpusMax float64 `toml:"cpus_max"` // limit of cores
	Gpus    float64 `toml:"gpus"`     // guaranteed accelerators
	GpusMax float64 `toml:"gpus_max"` // limit of accelerators
}

// Objective restates an aim on starting or finishing.
type Objective struct {
	Kind    string  `toml:"kind"`     // "wait" is on starting, "finished" on finishing, "guarantee" on work within guarantees
	Class   string  `toml:"class"`    // the job class that it is for
	Share   float64 `toml:"share"`    // the part of the jobs that has to meet it
	Times   float64 `toml:"times"`    // multiple of a job's own deadline; 0: within_s is meant
	WithinS float64 `toml:"within_s"` // seconds; 0: times is meant
}

// Workers holds the workers' timing.
type Workers struct {
	HeartbeatS float64 `toml:"report_s"`    // seconds from one heartbeat to the next
	LeaseS     float64 `toml:"lease_s"`     // seconds without an answer after which a worker stops its tasks
	GangWaitS  float64 `toml:"gang_wait_s"` // seconds; read, but no shape of job is a gang
	GangPeerS  float64 `toml:"gang_peer_s"` // seconds; read, but no shape of job is a gang
	CancelS    float64 `toml:"cancel_s"`    // seconds after a confirmed cancellation in which all tasks have to end
}

// State holds the limits of the state service, for all controllers together.
type State struct {
	RPS      float64 `toml:"rps"`       // requests a second
	WriteRPS float64 `toml:"write_rps"` // changes a second
	ValueKB  float64 `toml:"value_kb"`  // size of a value, in KB
	TxnOps   int     `toml:"txn_ops"`   // changes in a transaction
	// Next, if set, are limits that come in force at some time without notice.
	Next *StateNext `toml:"next"`
}

// StateNext holds limits of the state service that are to come, in the units of State.
type StateNext struct {
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Effective are the limits that hold now and will hold: the lower ones of both.
func (s State) Effective() State {
	if s.Next != nil {
		s.WriteRPS = min(s.WriteRPS, s.Next.WriteRPS)
		s.ValueKB = min(s.ValueKB, s.Next.ValueKB)
		s.TxnOps = min(s.TxnOps, s.Next.TxnOps)
	}
	return s
}

// Cloud holds the limits of the cloud's interface.
type Cloud struct {
	RPS      float64 `toml:"rps"`        // requests a second, for all controllers together
	ListLagS float64 `toml:"list_lag_s"` // seconds by which its list of machines may be behind
}

// Resources is what one controller may use.
type Resources struct {
	CPU            float64 `toml:"cpu"`             // cores
	MemMB          float64 `toml:"mem_mb"`          // memory, in MB
	MaxConnections int     `toml:"max_connections"` // open sockets
}

// Load reads and checks a settings file. Its errors fit on one line and name
// file, field and what was expected.
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

// Parse reads and checks the text of a settings file.
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

// Strict reads a TOML text in which every name has to be known: one that is misspelt would be
// taken for one that works. Errors fit on one line and name field and place.
func Strict(raw []byte, into any) error {
	decoder := toml.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return TOMLError(err)
	}
	return nil
}
