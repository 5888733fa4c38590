package simulator

import (
	"encoding/json"
	"strconv"
	"strings"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// placement is the machine that the records place a task on.
type placement struct {
	group   int
	machine string
}

// recordChecker checks every transaction for states that the records must never have: a task placed on two
// machines, an attempt that is placed again after its removal, a machine in two fleet records. The cost of a check
// depends only on the size of what the transaction changes.
type recordChecker struct {
	simulation *Simulation
	placed     map[string]placement // by task
	groups     map[int][]string     // by group: its tasks
	fleets     map[string][]string  // by fleet record: the machines that it lists
	fleetOf    map[string]string    // by machine: the fleet record that lists it
	attempts   attemptHistory
}

// newRecordChecker returns a checker for an empty store.
func newRecordChecker(sim *Simulation) *recordChecker {
	return &recordChecker{
		simulation: sim,
		placed:     map[string]placement{},
		groups:     map[int][]string{},
		fleets:     map[string][]string{},
		fleetOf:    map[string]string{},
		attempts:   attemptHistory{events: &sim.events},
	}
}

// note checks a transaction that was applied, and delivers the held heartbeats and commands if it changed the leader.
func (c *recordChecker) note(txn protocol.Txn) {
	c.simulation.mu.Lock()
	defer c.simulation.mu.Unlock()
	for _, reused := range c.attempts.note(txn) {
		c.simulation.addViolation("%s", reused)
	}
	for _, change := range txn.Then {
		if change.Put == storage.LeaderKey {
			if c.simulation.noteLeaderRecord(change.Value) {
				c.simulation.deliverHeldHeartbeats()
				c.simulation.deliverHeldCommands()
			}
		}
		c.noteShard(change)
		c.noteFleet(change)
		c.simulation.noteTeam(change)
	}
	c.noteGroups(txn)
}

// shardKeyPrefix is the prefix of the keys of shard records.
var shardKeyPrefix = strings.TrimSuffix(storage.ShardKey(0), "0")

// noteShard records a change that assigns a shard to a controller.
func (c *recordChecker) noteShard(change protocol.Change) {
	if !strings.HasPrefix(change.Put, shardKeyPrefix) {
		return
	}
	shard, err := strconv.Atoi(strings.TrimPrefix(change.Put, shardKeyPrefix))
	var record storage.ShardRecord
	if err != nil || json.Unmarshal(change.Value, &record) != nil {
		c.simulation.addViolation("record %s cannot be read", change.Put)
		return
	}
	c.simulation.events.add(event{kind: shardAssigned, shard: shard, controller: record.Member, token: record.FencingToken})
}

// noteFleet checks a change that writes or deletes a fleet record.
func (c *recordChecker) noteFleet(change protocol.Change) {
	c.forgetFleet(change.Delete)
	if !strings.HasPrefix(change.Put, storage.FleetKey("")) {
		return
	}
	fleet, err := storage.DecodeFleet(change.Value)
	if err != nil {
		c.simulation.addViolation("record %s cannot be read", change.Put)
	}
	c.forgetFleet(change.Put)
	for _, m := range fleet.Machines {
		if other, twice := c.fleetOf[m.Name]; twice {
			c.simulation.addViolation("records: machine %s is in %s and %s", m.Name, other, change.Put)
		}
		c.fleetOf[m.Name] = change.Put
		c.fleets[change.Put] = append(c.fleets[change.Put], m.Name)
	}
}

func (c *recordChecker) forgetFleet(key string) {
	for _, name := range c.fleets[key] {
		if c.fleetOf[name] == key {
			delete(c.fleetOf, name)
		}
	}
	delete(c.fleets, key)
}

// noteGroups checks all group records that a transaction writes together, since it may move a task from one group
// to another.
func (c *recordChecker) noteGroups(txn protocol.Txn) {
	written := map[int]storage.GroupRecord{}
	for _, change := range txn.Then {
		group, ok := storage.GroupOf(change.Put)
		if !ok {
			continue
		}
		record, err := storage.DecodeGroup(change.Value)
		if err != nil {
			c.simulation.addViolation("record %s cannot be read", change.Put)
		}
		written[group] = record
	}
	for group := range written {
		for _, name := range c.groups[group] {
			if c.placed[name].group == group {
				delete(c.placed, name)
			}
		}
		c.groups[group] = c.groups[group][:0]
	}
	for group, record := range written {
		c.place(group, record)
	}
}

// place records the tasks that a group's record places.
func (c *recordChecker) place(group int, record storage.GroupRecord) {
	for _, m := range record.Machines {
		for _, p := range m.Tasks {
			for i := 0; i+3 < len(p.Numbers); i += 4 {
				name := protocol.TaskName(p.Job, int(p.Numbers[i]))
				if other, twice := c.placed[name]; twice {
					c.simulation.addViolation("records: %s is on %s and %s", name, other.machine, m.Name)
				}
				c.placed[name] = placement{group, m.Name}
				c.groups[group] = append(c.groups[group], name)
			}
		}
	}
}
