package config

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
)

// The smallest values with which a controller can work.
const (
	minControllers = 1
	minTxnOps      = 4  // changes; a controller needs transactions of this size
	minValueKB     = 1  // KB
	minConnections = 16 // sockets
	maxPort        = 65535
)

// checker validates fields and keeps the error for the first invalid one. Fields are named by their
// full keys, such as deployment.state.rps.
type checker struct{ err error }

// require records an error for field unless ok is true. expected describes a valid value.
func (c *checker) require(ok bool, field, expected string) {
	if !ok && c.err == nil {
		c.err = &FieldError{field, expected}
	}
}

func (c *checker) address(value, field string) {
	host, port, err := net.SplitHostPort(value)
	number, portErr := strconv.Atoi(port)
	valid := err == nil && host != "" && portErr == nil && number >= 0 && number <= maxPort
	c.require(valid, field, "an address like 10.0.0.1:8080")
}

func (c *checker) positive(value float64, field string) {
	c.require(value > 0 && !math.IsInf(value, 0), field, "a number above 0")
}

func (c *checker) nonNegative(value float64, field string) {
	c.require(value >= 0 && !math.IsInf(value, 0), field, "a number of 0 or more")
}

func (c *checker) countAtLeast(value, minimum int, field string) {
	c.require(value >= minimum, field, fmt.Sprintf("a count of at least %d", minimum))
}

func (c *checker) memberName(value, field string) {
	c.require(value != "" && !strings.ContainsAny(value, " /"), field, "a name without spaces or slashes")
}

// unique requires that name is not in used, and adds it.
func (c *checker) unique(name string, used map[string]bool, field string) {
	c.require(!used[name], field, "a name that is not used twice")
	used[name] = true
}

// check returns an error for the first setting that is missing or invalid, in the order of the file's
// sections.
func (s *Settings) check() error {
	c := &checker{}
	c.controller(s)
	c.knownPeers(s)
	c.external(&s.External)
	c.deployment(&s.Deployment)
	c.teams(s.Deployment.Teams)
	c.objectives(s.Deployment.Objectives)
	c.workers(&s.Deployment.Workers)
	c.state(&s.Deployment.State)
	c.stateNext(s.Deployment.State.Next)
	c.cloud(&s.Deployment.Cloud)
	c.resources(&s.Deployment.Resources)
	return c.err
}

func (c *checker) controller(settings *Settings) {
	c.memberName(settings.MemberName, "node_name")
	c.require(settings.Zone != "", "zone", "a zone's name")
	c.address(settings.PublicAddr, "public_addr")
	c.address(settings.PeerListen, "peer_listen")
}

func (c *checker) knownPeers(settings *Settings) {
	used := map[string]bool{settings.MemberName: true}
	for i, peer := range settings.KnownPeers {
		section := fmt.Sprintf("known[%d].", i)
		c.memberName(peer.MemberName, section+"node_name")
		c.unique(peer.MemberName, used, section+"node_name")
		c.address(peer.Address, section+"address")
	}
}

func (c *checker) external(external *External) {
	c.address(external.Cloud, "external.cloud")
	c.address(external.State, "external.state")
}

func (c *checker) deployment(deployment *Deployment) {
	c.countAtLeast(deployment.Controllers, minControllers, "deployment.nodes")
	c.require(len(deployment.Zones) > 0, "deployment.zones", "a list of zones")
	c.nonNegative(deployment.ClockSkewMs, "deployment.clock_off_ms")
}

func (c *checker) teams(teams []Team) {
	c.require(len(teams) > 0, "deployment.teams", "at least one team")
	used := map[string]bool{}
	for i, team := range teams {
		section := fmt.Sprintf("deployment.teams[%d].", i)
		c.require(team.Name != "", section+"name", "a name")
		c.unique(team.Name, used, section+"name")
		c.nonNegative(team.Cpus, section+"cpus")
		c.nonNegative(team.CpusMax, section+"cpus_max")
		c.nonNegative(team.Gpus, section+"gpus")
		c.nonNegative(team.GpusMax, section+"gpus_max")
	}
}

func (c *checker) objectives(objectives []Objective) {
	for i, objective := range objectives {
		section := fmt.Sprintf("deployment.objectives[%d].", i)
		c.require(objective.Kind != "", section+"kind", "a kind of objective")
		c.nonNegative(objective.WithinS, section+"within_s")
		c.nonNegative(objective.Times, section+"times")
		c.nonNegative(objective.Share, section+"share")
	}
}

// workers does not check the gang settings, which are not used.
func (c *checker) workers(workers *Workers) {
	c.positive(workers.HeartbeatS, "deployment.workers.report_s")
	c.positive(workers.LeaseS, "deployment.workers.lease_s")
	c.positive(workers.CancelS, "deployment.workers.cancel_s")
}

func (c *checker) state(state *State) {
	c.positive(state.RPS, "deployment.state.rps")
	c.positive(state.WriteRPS, "deployment.state.write_rps")
	c.positive(state.ValueKB, "deployment.state.value_kb")
	c.countAtLeast(state.TxnOps, minTxnOps, "deployment.state.txn_ops")
}

func (c *checker) stateNext(next *StateNext) {
	if next == nil {
		return
	}
	c.positive(next.WriteRPS, "deployment.state.next.write_rps")
	valid := next.ValueKB >= minValueKB && !math.IsInf(next.ValueKB, 0)
	c.require(valid, "deployment.state.next.value_kb", fmt.Sprintf("a size of at least %d", minValueKB))
	c.countAtLeast(next.TxnOps, minTxnOps, "deployment.state.next.txn_ops")
}

func (c *checker) cloud(cloud *Cloud) {
	c.positive(cloud.RPS, "deployment.cloud.rps")
	c.nonNegative(cloud.ListLagS, "deployment.cloud.list_lag_s")
}

func (c *checker) resources(resources *Resources) {
	c.positive(resources.CPU, "deployment.resources.cpu")
	c.positive(resources.MemMB, "deployment.resources.mem_mb")
	c.countAtLeast(resources.MaxConnections, minConnections, "deployment.resources.max_connections")
}
