package controller

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// answeringZones is a worker link that gets answers only from workers in the named zones.
type answeringZones string

func (z answeringZones) Command(addr string, cmd protocol.DirectCommands, timeout time.Duration) (*protocol.Heartbeat, int, error) {
	if strings.Contains(string(z), addr[:1]) {
		return &protocol.Heartbeat{Machine: addr, Incarnation: cmd.Incarnation}, 409, nil
	}
	time.Sleep(timeout)
	return nil, 0, errors.New("no answer")
}

// newZonesCore returns a controller that owns a number of machines in each of three zones, a to c.
func newZonesCore(t *testing.T, machinesPerZone int) *Controller {
	t.Helper()
	controller := newCore(t)
	controller.cfg.KnownPeers = []config.Peer{{MemberName: "n1", Zone: "b"}, {MemberName: "n2", Zone: "c"}}
	controller.cfg.Deployment.Workers.CancelS = 40
	revision := uint64(10)
	for _, zone := range []string{"a", "b", "c"} {
		for i := range machinesPerZone {
			revision++
			name := fmt.Sprint(zone, i)
			if err := controller.cache.Apply(storage.FleetKey(name), storage.Encode(storage.FleetRecord{Type: "t", Zone: zone, FencingToken: revision,
				Machines: []storage.FleetMachine{{Name: name, Addr: name}}}), revision, false); err != nil {
				t.Fatal(err)
			}
			machine := controller.cache.Machine(name)
			machine.Incarnation, machine.Gone = 1, false
			controller.workerState(machine)
		}
	}
	return controller
}

// superviseZonesFor runs a controller's zone supervision for a number of ticks, and afterTick after
// each.
func superviseZonesFor(c *Controller, ticks int, afterTick func(tick int)) {
	for tick := range ticks {
		c.superviseZones(time.Now())
		time.Sleep(250 * time.Millisecond)
		for len(c.inbox) > 0 {
			(<-c.inbox)()
		}
		afterTick(tick)
	}
}

// Guards against two faults while a zone is cut off: machines were provisioned in it although no
// controller could reach them until the partition ended, and replicas that went on running there were
// lost when their machines were returned.
func TestZoneUnreachable(t *testing.T) {
	for _, test := range []struct {
		name                          string
		heard                         string // names of the zones whose workers answer
		machines                      int    // in each zone
		before                        func(controller *Controller, now time.Time)
		unreachable, controllerInside bool // zone b is unreachable; a controller inside it counts as alive
		emptied                       bool // whether the zone's machines are gone at the end
	}{
		{"one zone is silent, its controller was alive", "ac", 4, func(*Controller, time.Time) {}, true, true, false},
		{"its controller's connection broke off just before", "ac", 4, func(c *Controller, now time.Time) { c.reachability.brokenConnections["n1"] = now.Add(-3 * time.Second) }, true, false, false},
		{"its controller was no longer a member", "ac", 4, func(c *Controller, _ time.Time) { delete(c.cache.Members, "n1") }, true, false, true},
		{"this process has only just started", "ac", 4, func(c *Controller, now time.Time) { c.session.startedAt = now }, true, false, false},
		{"all zones are silent: the fault is this controller's", "", 4, func(*Controller, time.Time) {}, false, false, false},
		{"two machines may fall silent together", "ac", 2, func(*Controller, time.Time) {}, false, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core := newZonesCore(t, test.machines)
				core.workerLink = answeringZones(test.heard)
				for _, name := range []string{"n0", "n1", "n2"} {
					core.cache.Members[name] = &storage.Member{Version: 1}
				}
				core.session.startedAt = time.Now().Add(-time.Minute)
				test.before(core, time.Now())
				superviseZonesFor(core, 24, func(tick int) {
					if tick == 10 {
						delete(core.cache.Members, "n1") // its session lease has expired
					}
				})
				zone, now := core.cache.Zones.Find("b"), time.Now()
				if core.reachability.zoneUnreachable(zone) != test.unreachable || test.unreachable && core.hasControllerInside(zone) != test.controllerInside {
					t.Fatalf("got unreachable: %v, controller inside: %v", core.reachability.zoneUnreachable(zone), core.hasControllerInside(zone))
				}
				if test.unreachable && (!core.needsNoReplacement(zone, now) || core.needsNoReplacement(zone, now.Add(time.Minute))) {
					t.Error("the zone's tasks must need no replacement capacity at first, and need it a minute later")
				}
				checkEmptyZoneBecomesReachable(t, core, zone, now, test.unreachable, test.emptied)
				if core.recordZoneMessage(zone, now); core.reachability.zoneUnreachable(zone) {
					t.Error("a zone is still unreachable after a worker's message arrived")
				}
				time.Sleep(2 * probeTimeout)
			})
		})
	}
}

// checkEmptyZoneBecomesReachable checks that an unreachable zone without machines, in which no worker
// can answer, counts as reachable again after emptyZoneTimeout, and that a zone with machines does not.
func checkEmptyZoneBecomesReachable(t *testing.T, controller *Controller, zone int, now time.Time, unreachable, emptied bool) {
	t.Helper()
	for _, machine := range controller.cache.Machines {
		machine.Gone = machine.Zone == zone && emptied
	}
	for range 2 {
		controller.superviseZones(now)
		if controller.reachability.zoneUnreachable(zone) != unreachable {
			t.Error("the zone's reachability changed before emptyZoneTimeout has passed")
		}
		controller.superviseZones(now.Add(emptyZoneTimeout - time.Second))
	}
	controller.superviseZones(now.Add(emptyZoneTimeout + time.Second))
	if got := controller.reachability.zoneUnreachable(zone); got != (unreachable && !emptied) {
		t.Errorf("unreachable: %v after emptyZoneTimeout, with all machines gone: %v", got, emptied)
	}
}
