package simulator

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/controller"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// setRedLimit changes the limit of team red through any controller that lives, until it is done or refused for good.
func (sim *Simulation) setRedLimit(t *testing.T, cpusMax float64) {
	t.Helper()
	const team = "red"
	for range 200 {
		core := sim.Controller(sim.Random.IntN(3)).Core
		views, err := core.Teams(sim.ctx)
		for _, v := range views {
			if v.Name != team {
				continue
			}
			_, err = core.ChangeTeam(sim.ctx, team, v.Version, json.RawMessage(fmt.Sprintf(`{"cpus_max":%g}`, cpusMax)))
		}
		var field *controller.FieldError
		if err == nil && views != nil || errors.As(err, &field) {
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
	t.Errorf("the limit of %s can't be changed", team)
}

// teamState is a team's state as a controller tells it, "" where none does.
func (sim *Simulation) teamState(team string) string {
	for i := range 3 {
		views, err := sim.Controller(i).Core.Teams(sim.ctx)
		if err != nil {
			continue
		}
		for _, v := range views {
			if v.Name == team {
				return v.State
			}
		}
	}
	return ""
}

// limitFaults are faults that come between two changes of a limit.
var limitFaults = []struct {
	name  string
	fault func(sim *Simulation, step int)
}{
	{"no fault", func(*Simulation, int) {}},
	{"owners end", func(sim *Simulation, step int) {
		sim.Again(time.Duration(sim.Random.IntN(4000))*time.Millisecond, step%3)
	}},
	{"controllers stall over changes", func(sim *Simulation, step int) {
		sim.Controller(step % 3).Stall(time.Duration(2+sim.Random.IntN(9)) * time.Second)
	}},
	{"an outage, and a controller refused alone", func(sim *Simulation, step int) {
		if step%2 == 0 {
			sim.Store.SetDown(true)
			time.Sleep(4 * time.Second)
			sim.Store.SetDown(false)
			return
		}
		sim.Store.Deny(sim.Controller(step%3).Name, true)
		time.Sleep(6 * time.Second)
		sim.Store.Deny(sim.Controller(step%3).Name, false)
	}},
}

// TestLimitChangesUnderFaults raises and lowers a busy team's limit through any controller, while owners end, stall over
// a change and go on later, answers get lost and transactions come late. The checker compares every start with the limit that
// counts, and every limit that is said to be in force against what really runs.
func TestLimitChangesUnderFaults(t *testing.T) {
	for _, test := range limitFaults {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", test.name, seed), func(t *testing.T) {
				var evicted, lowered atomic.Int32
				runMixedLoad(t, 700+seed, func(sim *Simulation) {
					sim.CapacityOf = 8
					sim.Late = func(string, protocol.Txn) time.Duration {
						if sim.Random.IntN(60) > 0 {
							return 0
						}
						return time.Duration(500+sim.Random.IntN(8000)) * time.Millisecond
					}
					sim.countLimitChanges(&lowered, &evicted)
				}, func(sim *Simulation) {
					sim.PeerDelay()
					for step, limit := range []float64{60, 24, 80, 20, 30, 18, 60, 16, 40} {
						sim.setRedLimit(t, limit)
						test.fault(sim, step)
						time.Sleep(time.Duration(1+sim.Random.IntN(4)) * time.Second)
					}
					sim.setRedLimit(t, 40)
				}, func(sim *Simulation) {
					if state := sim.teamState("red"); state != controller.TeamInForce {
						t.Errorf("the last limit is %q", state)
					}
					if lowered.Load() == 0 {
						t.Error("no limit was lowered")
					}
				})
				t.Logf("%d limits lowered, %d sets evicted for one", lowered.Load(), evicted.Load())
			})
		}
	}
}

// countLimitChanges counts the records that lower team red's limit, and the sets of tasks that are evicted for one.
func (sim *Simulation) countLimitChanges(lowered, evicted *atomic.Int32) {
	previousCheck := sim.Store.Check
	sim.Store.Check = func(t protocol.Txn) {
		previousCheck(t)
		for _, c := range t.Then {
			if strings.HasPrefix(c.Put, storage.VictimSetKey("limit:")) {
				evicted.Add(1)
			}
			var r storage.TeamRecord
			if c.Put == storage.TeamKey("red") && json.Unmarshal(c.Value, &r) == nil && r.PreviousBounds != nil {
				lowered.Add(1)
			}
		}
	}
}

// A limit was counted as kept by a controller that saw little of the team running, while the transaction of the shard's owner
// that placed more was on its way: only the owner may say so.
func TestLimitLoweredWithOwnerTransactionInFlight(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runMixedLoad(t, 760+seed, func(sim *Simulation) { sim.CapacityOf = 8 }, func(sim *Simulation) {
				sim.PeerDelay()
				shard := slices.IndexFunc(sim.Settings.Deployment.Teams, func(t config.Team) bool { return t.Name == "red" }) % 3
				for range 12 {
					owner := sim.Owner(shard)
					if owner < 0 {
						time.Sleep(time.Second)
						continue
					}
					slowOwner := sim.Controller(owner).Name
					sim.Store.Slow = func(controller string) time.Duration {
						if controller != slowOwner {
							return 0
						}
						return time.Duration(300+sim.Random.IntN(600)) * time.Millisecond
					}
					sim.User(JobSpec{Team: "red", Tasks: 18, Cpus: 2, Run: 3 * time.Second})
					time.Sleep(time.Duration(100+sim.Random.IntN(900)) * time.Millisecond)
					sim.setRedLimit(t, 18)
					time.Sleep(time.Duration(sim.Random.IntN(3000)) * time.Millisecond)
					sim.Store.Slow = nil
					sim.setRedLimit(t, 40)
					time.Sleep(2 * time.Second)
				}
			}, nil)
		})
	}
}
