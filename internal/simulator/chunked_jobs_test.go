package simulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// longTypeList returns allowed machine types whose names make a job's description exceed the value limit, so that it is
// stored in chunks. The cloud has only the first one.
func longTypeList(sim *Simulation) []string {
	types := []string{sim.Machines()[0].Type}
	for i := range 12 * int(sim.Settings.Deployment.State.ValueKB) {
		types = append(types, fmt.Sprint(i, strings.Repeat("x", 100)))
	}
	return types
}

// TestCancelledJobsWithChunkedDescriptions guards against tasks that start twice, and against teams whose work stops for
// good: a cancelled job with a chunked description was dropped while a machine group's record still listed its task, and
// the record was rejected with the tasks of all other jobs in it.
func TestCancelledJobsWithChunkedDescriptions(t *testing.T) {
	const team, shardOfTeam = "grey", 0 // the fourth of four teams, in three shards
	for _, test := range []struct {
		name  string
		fault func(sim *Simulation)
	}{
		{"owner-restarts", func(sim *Simulation) {
			for range 4 {
				time.Sleep(4 * time.Second)
				job := sim.StartUser(JobSpec{Team: team, Tasks: 1, Cpus: 0.5, RunTime: time.Minute, Urgency: "high", Types: longTypeList(sim)})
				for range 200 {
					if time.Sleep(100 * time.Millisecond); sim.RunningTasksOf(job) == 1 {
						break
					}
				}
				owner := max(0, sim.ShardOwner(shardOfTeam))
				go sim.Restart(300*time.Millisecond, owner)
				time.Sleep(50 * time.Millisecond)
				sim.CancelAt(job, (owner+1)%3)
			}
		}},
		{"cancelled-early", func(sim *Simulation) {
			sim.AfterTransaction = func(_ int, txn protocol.Txn) { // before the answer
				_, placesTasks := storage.GroupOf(txn.Then[0].Put)
				if placesTasks && sim.Random.IntN(4) == 0 {
					time.Sleep(200 * time.Millisecond)
				}
			}
			for range 60 {
				job := sim.StartUser(JobSpec{Team: team, Tasks: 1, Cpus: 0.5, RunTime: time.Minute, Urgency: "high", Types: longTypeList(sim)})
				time.Sleep(time.Duration(50+sim.Random.IntN(100)) * time.Millisecond)
				go sim.CancelAt(job, max(0, sim.ShardOwner(shardOfTeam)))
			}
			sim.AfterTransaction = nil
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			runMixedLoad(t, 5, func(sim *Simulation) { sim.Settings.Deployment.State.ValueKB = 8 }, test.fault, nil)
		})
	}
}
