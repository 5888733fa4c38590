// Package config reads and checks the settings file that the platform hands
// to a controller.
package config

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the platform's file. Fields that are not named here are ignored.
type Settings struct {
	MemberName string `toml:"node_name"`
	Zone       string `toml:"zone"`
	PublicAddr string `toml:"public_addr"`
	PeerListen string `toml:"peer_listen"`

	Known      []Peer     `toml:"known"`
	External   External   `toml:"external"`
	Deployment Deployment `toml:"deployment"`
}

// Peer is another controller.
type Peer struct {
	MemberName string `toml:"node_name"`
	Zone       string `toml:"zone"`
	Address    string `toml:"address"`
}

// External names the services that a controller calls.
type External struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Deployment describes what is the same for all controllers.
type Deployment struct {
	Controllers int         `toml:"nodes"`
	Zones       []string    `toml:"zones"`
	ClockSkewMs float64     `toml:"clock_off_ms"`
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
	Cpus    float64 `toml:"cpus"`
	CpusMax float64 `toml:"cpus_max"`
	Gpus    float64 `toml:"gpus"`
	GpusMax float64 `toml:"gpus_max"`
}

// Objective restates an aim on starting or finishing.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
	WithinS float64 `toml:"within_s"`
}

// Workers holds the workers' timing.
type Workers struct {
	HeartbeatS float64 `toml:"report_s"`
	LeaseS     float64 `toml:"lease_s"`
	GangWaitS  float64 `toml:"gang_wait_s"`
	GangPeerS  float64 `toml:"gang_peer_s"`
	CancelS    float64 `toml:"cancel_s"`
}

// State holds the limits of the state service.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next, if set, are limits that come in force at some time without notice.
	Next *StateNext `toml:"next"`
}

// StateNext holds limits of the state service that are to come.
type StateNext struct {
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Effective are the limits that hold now and will hold: the lower ones of both.
func (s State) Effective() State {
	if n := s.Next; n != nil {
		s.WriteRPS, s.ValueKB, s.TxnOps = min(s.WriteRPS, n.WriteRPS), min(s.ValueKB, n.ValueKB), min(s.TxnOps, n.TxnOps)
	}
	return s
}

// Cloud holds the limits of the cloud's interface.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Resources is what one controller may use.
type Resources struct {
	CPU            float64 `toml:"cpu"`
	MemMB          float64 `toml:"mem_mb"`
	MaxConnections int     `toml:"max_connections"`
}

// FieldError names the field of the settings that is missing or invalid.
type FieldError struct{ Field, Expected string }

func (e *FieldError) Error() string { return fmt.Sprintf("field %s: expected %s", e.Field, e.Expected) }

// Load reads and checks a settings file. Its errors fit on one line and name
// file, field and what was expected.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings %s: expected a readable file: %w", path, err)
	}
	s, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// Parse reads and checks the text of a settings file.
func Parse(raw []byte) (*Settings, error) {
	var s Settings
	if err := toml.Unmarshal(raw, &s); err != nil {
		return nil, TOMLError(err)
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return &s, nil
}

// Strict reads a TOML text in which every name has to be known: one that is misspelt would be
// taken for one that works. Errors fit on one line and name field and place.
func Strict(raw []byte, into any) error {
	d := toml.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return TOMLError(err)
	}
	return nil
}

// TOMLError says on one line where a TOML text is wrong.
func TOMLError(err error) error {
	var de *toml.DecodeError
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		row, col := strict.Errors[0].Position()
		return fmt.Errorf("field %s (line %d, column %d): expected a known name", strings.Join(strict.Errors[0].Key(), "."), row, col)
	}
	if errors.As(err, &de) {
		row, col := de.Position()
		return fmt.Errorf("field %s (line %d, column %d): expected valid TOML of the right type: %s",
			strings.Join(de.Key(), "."), row, col, strings.ReplaceAll(de.Error(), "\n", " "))
	}
	return fmt.Errorf("expected TOML: %s", strings.ReplaceAll(err.Error(), "\n", " "))
}

type checker struct{ err error }

func (c *checker) want(ok bool, field, expected string) {
	if !ok && c.err == nil {
		c.err = &FieldError{field, expected}
	}
}

func (c *checker) address(v, field string) {
	host, port, err := net.SplitHostPort(v)
	n, perr := strconv.Atoi(port)
	c.want(err == nil && host != "" && perr == nil && n >= 0 && n <= 65535, field, "an address like 10.0.0.1:8080")
}

func (c *checker) positive(v float64, field string) {
	c.want(v > 0 && !math.IsInf(v, 0), field, "a number above 0")
}

func (c *checker) amount(v float64, field string) {
	c.want(v >= 0 && !math.IsInf(v, 0), field, "a number of 0 or more")
}

func (s *Settings) check() error {
	configChecker := &checker{}
	configChecker.want(s.MemberName != "" && !strings.ContainsAny(s.MemberName, " /"), "node_name", "a name without spaces or slashes")
	configChecker.want(s.Zone != "", "zone", "a zone's name")
	configChecker.address(s.PublicAddr, "public_addr")
	configChecker.address(s.PeerListen, "peer_listen")
	seen := map[string]bool{s.MemberName: true}
	for i, p := range s.Known {
		f := fmt.Sprintf("known[%d].", i)
		configChecker.want(p.MemberName != "" && !strings.ContainsAny(p.MemberName, " /"), f+"node_name", "a name without spaces or slashes")
		configChecker.want(!seen[p.MemberName], f+"node_name", "a name that is not used twice")
		seen[p.MemberName] = true
		configChecker.address(p.Address, f+"address")
	}
	configChecker.address(s.External.Cloud, "external.cloud")
	configChecker.address(s.External.State, "external.state")
	deployment := &s.Deployment
	configChecker.want(deployment.Controllers >= 1, "deployment.nodes", "a count of at least 1")
	configChecker.want(len(deployment.Zones) > 0, "deployment.zones", "a list of zones")
	configChecker.amount(deployment.ClockSkewMs, "deployment.clock_off_ms")
	configChecker.want(len(deployment.Teams) > 0, "deployment.teams", "at least one team")
	names := map[string]bool{}
	for i, t := range deployment.Teams {
		f := fmt.Sprintf("deployment.teams[%d].", i)
		configChecker.want(t.Name != "", f+"name", "a name")
		configChecker.want(!names[t.Name], f+"name", "a name that is not used twice")
		names[t.Name] = true
		configChecker.amount(t.Cpus, f+"cpus")
		configChecker.amount(t.CpusMax, f+"cpus_max")
		configChecker.amount(t.Gpus, f+"gpus")
		configChecker.amount(t.GpusMax, f+"gpus_max")
	}
	for i, o := range deployment.Objectives {
		f := fmt.Sprintf("deployment.objectives[%d].", i)
		configChecker.want(o.Kind != "", f+"kind", "a kind of objective")
		configChecker.amount(o.WithinS, f+"within_s")
		configChecker.amount(o.Times, f+"times")
		configChecker.amount(o.Share, f+"share")
	}
	configChecker.positive(deployment.Workers.HeartbeatS, "deployment.workers.report_s")
	configChecker.positive(deployment.Workers.LeaseS, "deployment.workers.lease_s")
	configChecker.positive(deployment.Workers.CancelS, "deployment.workers.cancel_s")
	configChecker.positive(deployment.State.RPS, "deployment.state.rps")
	configChecker.positive(deployment.State.WriteRPS, "deployment.state.write_rps")
	configChecker.positive(deployment.State.ValueKB, "deployment.state.value_kb")
	configChecker.want(deployment.State.TxnOps >= 4, "deployment.state.txn_ops", "a count of at least 4")
	if n := deployment.State.Next; n != nil {
		configChecker.positive(n.WriteRPS, "deployment.state.next.write_rps")
		configChecker.want(n.ValueKB >= 1 && !math.IsInf(n.ValueKB, 0), "deployment.state.next.value_kb", "a size of at least 1")
		configChecker.want(n.TxnOps >= 4, "deployment.state.next.txn_ops", "a count of at least 4")
	}
	configChecker.positive(deployment.Cloud.RPS, "deployment.cloud.rps")
	configChecker.amount(deployment.Cloud.ListLagS, "deployment.cloud.list_lag_s")
	configChecker.positive(deployment.Resources.CPU, "deployment.resources.cpu")
	configChecker.positive(deployment.Resources.MemMB, "deployment.resources.mem_mb")
	configChecker.want(deployment.Resources.MaxConnections >= 16, "deployment.resources.max_connections", "a count of at least 16")
	return configChecker.err
}
