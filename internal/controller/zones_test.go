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

// answeringZones is a link to workers of which only those in the named zones answer.
type answeringZones string

func (z answeringZones) Command(addr string, cmd protocol.DirectCommands, timeout time.Duration) (*protocol.Heartbeat, int, error) {
	if strings.Contains(string(z), addr[:1]) {
		return &protocol.Heartbeat{Machine: addr, Incarnation: cmd.Incarnation}, 409, nil
	}
	time.Sleep(timeout)
	return nil, 0, errors.New("no answer")
}

// newZonesCore is a controller that owns some machines in each of three zones, a to c.
func newZonesCore(t *testing.T, machinesPerZone int) *Controller {
	t.Helper()
	controller := newCore(t)
	controller.cfg.Known = []config.Peer{{MemberName: "n1", Zone: "b"}, {MemberName: "n2", Zone: "c"}}
	controller.cfg.Deployment.Workers.CancelS = 40
	rev := uint64(10)
	for _, zone := range []string{"a", "b", "c"} {
		for i := range machinesPerZone {
			rev++
			name := fmt.Sprint(zone, i)
			if err := controller.cache.Apply(storage.FleetKey(name), storage.Encode(storage.FleetRecord{Type: "t", Zone: zone, FencingToken: rev,
				Machines: []storage.FleetMachine{{Name: name, Addr: name}}}), rev, false); err != nil {
				t.Fatal(err)
			}
			machine := controller.cache.Machine(name)
			machine.Incarnation, machine.Gone = 1, false
			controller.workerState(machine)
		}
	}
	return controller
}

// superviseFor has a controller supervise zones for a number of ticks, with a step after each.
func superviseFor(c *Controller, ticks int, afterTick func(tick int)) {
	for tick := range ticks {
		c.superviseZones(time.Now())
		time.Sleep(250 * time.Millisecond)
		for len(c.inbox) > 0 {
			(<-c.inbox)()
		}
		afterTick(tick)
	}
}

// A zone was cut off: machines were provisioned in it, where nobody reached them until the partition ended, and
// the replicas that ran on there were lost with their machines' return.
func TestZoneUnreachable(t *testing.T) {
	for _, test := range []struct {
		name               string
		heard              string // zones that answer
		machines           int
		before             func(controller *Controller, now time.Time)
		unreachable, lives bool // lives: somebody inside is taken to live
		emptied            bool // then its machines are gone
	}{
		{"one zone is silent, its controller lived", "ac", 4, func(*Controller, time.Time) {}, true, true, false},
		{"its controller's connection broke off just before", "ac", 4, func(c *Controller, now time.Time) { c.reachability.brokenConnections["n1"] = now.Add(-3 * time.Second) }, true, false, false},
		{"its controller was no member any more", "ac", 4, func(c *Controller, _ time.Time) { delete(c.cache.Members, "n1") }, true, false, true},
		{"this process has only just begun", "ac", 4, func(c *Controller, now time.Time) { c.session.startedAt = now }, true, false, false},
		{"all are silent: the fault is on this side", "", 4, func(*Controller, time.Time) {}, false, false, false},
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
				superviseFor(core, 24, func(tick int) {
					if tick == 10 {
						delete(core.cache.Members, "n1") // its session lease has expired
					}
				})
				zone, now := core.cache.Zones.Find("b"), time.Now()
				if core.reachability.zoneUnreachable(zone) != test.unreachable || test.unreachable && core.hasControllerInside(zone) != test.lives {
					t.Fatalf("unreachable: %v, controller inside: %v", core.reachability.zoneUnreachable(zone), core.hasControllerInside(zone))
				}
				if test.unreachable && (!core.needsNoReplacement(zone, now) || core.needsNoReplacement(zone, now.Add(time.Minute))) {
					t.Error("what runs there needs no other capacity for a while, and then it does")
				}
				checkEmptyZoneIsTriedAgain(t, core, zone, now, test.unreachable, test.emptied)
				if core.hearZone(zone, now); core.reachability.zoneUnreachable(zone) {
					t.Error("a zone that is heard is still unreachable")
				}
				time.Sleep(2 * probeTimeout)
			})
		})
	}
}

// checkEmptyZoneIsTriedAgain: in a zone without machines nobody will ever be heard, so it counts as
// reachable again after a while, and no other zone does.
func checkEmptyZoneIsTriedAgain(t *testing.T, controller *Controller, zone int, now time.Time, unreachable, emptied bool) {
	t.Helper()
	for _, machine := range controller.cache.Machines {
		machine.Gone = machine.Zone == zone && emptied
	}
	for range 2 {
		controller.superviseZones(now)
		if controller.reachability.zoneUnreachable(zone) != unreachable {
			t.Error("a zone is tried again at once")
		}
		controller.superviseZones(now.Add(emptyFor - time.Second))
	}
	controller.superviseZones(now.Add(emptyFor + time.Second))
	if got := controller.reachability.zoneUnreachable(zone); got != (unreachable && !emptied) {
		t.Errorf("unreachable: %v, without machines in it: %v", got, emptied)
	}
}
