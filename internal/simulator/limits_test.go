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

// setRedLimit sets team red's CPU limit through random controllers, until one has made the change or
// rejected its value.
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
	t.Errorf("the limit of team %s was neither changed nor rejected in 200 attempts", team)
}

// teamState returns the state of a team's limit from the first controller that answers, or "" if none
// does.
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

// limitFaults are the faults that are injected after each change of a limit.
var limitFaults = []struct {
	name  string
	fault func(sim *Simulation, step int)
}{
	{"no fault", func(*Simulation, int) {}},
	{"controllers restart", func(sim *Simulation, step int) {
		sim.Restart(time.Duration(sim.Random.IntN(4000))*time.Millisecond, step%3)
	}},
	{"controllers stall during changes", func(sim *Simulation, step int) {
		sim.Controller(step % 3).Stall(time.Duration(2+sim.Random.IntN(9)) * time.Second)
	}},
	{"outages, and refusals of a single controller", func(sim *Simulation, step int) {
		if step%2 == 0 {
			sim.Store.SetDown(true)
			time.Sleep(4 * time.Second)
			sim.Store.SetDown(false)
			return
		}
		sim.Store.RefuseController(sim.Controller(step%3).Name, true)
		time.Sleep(6 * time.Second)
		sim.Store.RefuseController(sim.Controller(step%3).Name, false)
	}},
}

// TestLimitChangesUnderFaults raises and lowers a busy team's limit through any controller, while shard
// owners end, controllers stall during a change and resume later, answers are lost and transactions are
// applied late. The rule checker compares the team's usage with its effective limit at every task start,
// and with each limit when its record says that it is in force.
func TestLimitChangesUnderFaults(t *testing.T) {
	for _, test := range limitFaults {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", test.name, seed), func(t *testing.T) {
				var evicted, lowered atomic.Int32
				runMixedLoad(t, 700+seed, func(sim *Simulation) {
					sim.Capacity = 8
					sim.LateTransactions = func(string, protocol.Txn) time.Duration {
						if sim.Random.IntN(60) > 0 {
							return 0
						}
						return time.Duration(500+sim.Random.IntN(8000)) * time.Millisecond
					}
					sim.countLimitChanges(&lowered, &evicted)
				}, func(sim *Simulation) {
					sim.ExchangePeerHeartbeats()
					for step, limit := range []float64{60, 24, 80, 20, 30, 18, 60, 16, 40} {
						sim.setRedLimit(t, limit)
						test.fault(sim, step)
						time.Sleep(time.Duration(1+sim.Random.IntN(4)) * time.Second)
					}
					sim.setRedLimit(t, 40)
				}, func(sim *Simulation) {
					if state := sim.teamState("red"); state != controller.TeamInForce {
						t.Errorf("the last limit is in state %q, want it in force", state)
					}
					if lowered.Load() == 0 {
						t.Error("no record lowered a limit: the case checks nothing")
					}
				})
				t.Logf("%d limits lowered, %d victim sets evicted for a limit", lowered.Load(), evicted.Load())
			})
		}
	}
}

// countLimitChanges counts the records that lower team red's limit, and the victim sets that are evicted
// for a limit.
func (sim *Simulation) countLimitChanges(lowered, evicted *atomic.Int32) {
	previousCheck := sim.Store.AfterApply
	sim.Store.AfterApply = func(t protocol.Txn) {
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

// TestLimitLoweredWithOwnerTransactionInFlight guards against a lowered limit that a controller other than
// the shard's owner recorded as in force: it saw few of the team's tasks running while a transaction of
// the owner that placed more was in flight. Only the owner may record this.
func TestLimitLoweredWithOwnerTransactionInFlight(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runMixedLoad(t, 760+seed, func(sim *Simulation) { sim.Capacity = 8 }, func(sim *Simulation) {
				sim.ExchangePeerHeartbeats()
				shard := slices.IndexFunc(sim.Settings.Deployment.Teams, func(t config.Team) bool { return t.Name == "red" }) % 3
				for range 12 {
					owner := sim.ShardOwner(shard)
					if owner < 0 {
						time.Sleep(time.Second)
						continue
					}
					slowOwner := sim.Controller(owner).Name
					sim.Store.RequestDelay = func(controller string) time.Duration {
						if controller != slowOwner {
							return 0
						}
						return time.Duration(300+sim.Random.IntN(600)) * time.Millisecond
					}
					sim.StartUser(JobSpec{Team: "red", Tasks: 18, Cpus: 2, RunTime: 3 * time.Second})
					time.Sleep(time.Duration(100+sim.Random.IntN(900)) * time.Millisecond)
					sim.setRedLimit(t, 18)
					time.Sleep(time.Duration(sim.Random.IntN(3000)) * time.Millisecond)
					sim.Store.RequestDelay = nil
					sim.setRedLimit(t, 40)
					time.Sleep(2 * time.Second)
				}
			}, nil)
		})
	}
}
