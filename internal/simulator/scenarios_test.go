package simulator

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

var scenarioSeeds = flag.Int("seeds", 1, "number of seeds with which TestScenarios runs each scenario")

// scenarioSeedStep is the difference between the seeds with which a scenario runs.
const scenarioSeedStep = 10_000

// scenario is a test case with overlapping faults, in a simulation of three controllers, nine machines and
// long-running jobs.
type scenario struct {
	*Simulation
	hooks       *faultHooks
	longJobs    []*Job // not cancelled yet; their tasks run for an hour
	cancelled   []*Job
	awaitedJobs []*Job // jobs that must reach a final status by the end
	countsMu    sync.Mutex
	counts      map[string]int
}

// count adds to the number of times that an event occurred.
func (s *scenario) count(event string, n int) {
	s.countsMu.Lock()
	defer s.countsMu.Unlock()
	s.counts[event] += n
}

// cancelLongJobs has the users of the first n long jobs cancel them now.
func (s *scenario) cancelLongJobs(n int) {
	n = min(n, len(s.longJobs))
	for _, j := range s.longJobs[:n] {
		s.CancelNow(j)
	}
	s.cancelled, s.longJobs = append(s.cancelled, s.longJobs[:n]...), s.longJobs[n:]
}

// preferJobsIn moves the long jobs that have a task in a zone to the front, so that they are cancelled
// first.
func (s *scenario) preferJobsIn(zone string) {
	isInZone := func(m *Machine) bool { return m.Zone == zone }
	var inZone, others []*Job
	for _, job := range s.longJobs {
		if slices.ContainsFunc(s.machinesOf(job), isInZone) {
			inZone = append(inZone, job)
		} else {
			others = append(others, job)
		}
	}
	s.longJobs = append(inZone, others...)
}

// confirmedCancellations returns how many of the cancelled jobs were reported to their users as cancelled.
func (s *scenario) confirmedCancellations() (n int) {
	for _, j := range s.cancelled {
		if s.ReportedStatus(j) == protocol.Cancelled {
			n++
		}
	}
	return n
}

// submitLongJobs submits n jobs that run for an hour, for each team in turn.
func (s *scenario) submitLongJobs(n int, spec JobSpec) {
	for i := range n {
		spec.Team = s.Settings.Deployment.Teams[i%4].Name
		spec.Tasks, spec.Cpus, spec.RunTime = cmp.Or(spec.Tasks, 2), cmp.Or(spec.Cpus, 4), time.Hour
		s.longJobs = append(s.longJobs, s.StartUser(spec))
	}
}

// submitStream submits four single-task jobs a second; a quarter of them are cancelled within three
// seconds.
func (s *scenario) submitStream(duration time.Duration) {
	for i := range int(4 * duration.Seconds()) {
		spec := JobSpec{Team: s.Settings.Deployment.Teams[i%4].Name, Tasks: 1, Cpus: 1, RunTime: s.randomDuration(2*time.Second, 8*time.Second)}
		if i%4 == 1 {
			spec.CancelAfter = s.randomDuration(time.Millisecond, 3*time.Second)
		}
		s.awaitedJobs = append(s.awaitedJobs, s.StartUser(spec))
		time.Sleep(250 * time.Millisecond)
	}
}

// changeMachinesOf applies a change to at most limit machines that run tasks of the jobs, and returns
// these machines.
func (s *scenario) changeMachinesOf(limit int, change func(*Machine), jobs ...*Job) (changed []*Machine) {
	for _, j := range jobs {
		for _, m := range s.machinesOf(j) {
			if len(changed) < limit && !slices.Contains(changed, m) {
				changed = append(changed, m)
				s.UpdateMachine(m, change)
			}
		}
	}
	return changed
}

// restartLeader kills the leader and starts it again after downtime.
func (s *scenario) restartLeader(downtime time.Duration) {
	i := leaderOrFirst(s.Simulation)
	if s.Controller(i).ended() {
		return
	}
	s.Kill(i)
	go func() {
		time.Sleep(downtime)
		if s.Controller(i).ended() {
			s.Start(i)
		}
	}()
}

// countLeaderChanges counts how often leadership was taken while f ran.
func (s *scenario) countLeaderChanges(f func()) {
	before := s.LeaderChanges.Load()
	f()
	s.count("leadership taken", int(s.LeaderChanges.Load()-before))
}

// scenarioCase is a scenario with the events that must occur in it: a scenario that fails to cause them
// fails the test.
type scenarioCase struct {
	name     string
	seed     uint64
	setup    func(s *scenario)
	run      func(s *scenario)
	expected string // events that must occur, or with "!" must not, separated by ", "
}

// scenarios are overlapping faults that no other test is certain to cause.
var scenarios = slices.Concat(userScenarios, controllerScenarios, machineScenarios, messageScenarios, duplicateScenarios, duplicateTxnScenarios)

// isEveryThird counts a transaction by the kind of its first record, and reports whether it is the first,
// fourth, seventh and so on of its kind.
func (s *scenario) isEveryThird(prefix string, t protocol.Txn) bool {
	kind := kindOf(t)
	s.count(prefix+kind, 1)
	s.countsMu.Lock()
	defer s.countsMu.Unlock()
	return s.counts[prefix+kind]%3 == 1
}

// countTransactions counts, from counts by kind, the transactions with the given kinds of records, as events that begin
// with prefix.
func (s *scenario) countTransactions(prefix string, byKind map[string]int, kinds ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, kind := range kinds {
		s.count(prefix+kind, byKind[kind])
	}
}

// slowHeartbeats has workers send heartbeats as rarely as in the largest deployments.
func (s *scenario) slowHeartbeats() {
	s.Settings.Deployment.Workers = config.Workers{HeartbeatS: 5, LeaseS: 26.5, GangWaitS: 30, GangPeerS: 4, CancelS: 46.5}
}

// limitTeams gives every team a limit that its jobs reach, and counts the teams at their limit after 15 s.
func (s *scenario) limitTeams() {
	for i := range s.Settings.Deployment.Teams {
		s.Settings.Deployment.Teams[i].CpusMax = 24
	}
	go func() {
		time.Sleep(15 * time.Second)
		used := map[string]float64{}
		s.mu.Lock()
		for _, j := range s.jobs {
			used[j.Team] += float64(len(j.runningOn)) * j.Cpus
		}
		s.mu.Unlock()
		for _, t := range s.Settings.Deployment.Teams {
			if used[t.Name] == t.CpusMax {
				s.count("at the limit", 1)
			}
		}
	}()
}

// countCancellationsBetweenOwners counts the cancellations that are committed while any controller is
// down, or within two seconds of a change of the owner of the job's shard.
func (s *scenario) countCancellationsBetweenOwners() {
	changedAt := map[int]time.Time{} // by shard
	previousCheck := s.Store.AfterApply
	s.Store.AfterApply = func(txn protocol.Txn) {
		previousCheck(txn)
		for _, change := range txn.Then {
			var shard int
			if n, _ := fmt.Sscanf(change.Put, storage.Root+"share/%d", &shard); n == 1 {
				changedAt[shard] = time.Now()
			}
			if id, ok := storage.JobIDOf(change.Put); ok && strings.Contains(string(change.Value), `"f":"cancelled"`) {
				if s.hasEndedController() || time.Since(changedAt[s.shardOf(id)]) < 2*time.Second {
					s.count("cancelled between owners", 1)
				}
			}
		}
	}
}

// hasEndedController reports whether any controller is down.
func (s *scenario) hasEndedController() bool {
	return slices.ContainsFunc(s.controllers, func(process *ControllerProcess) bool { return process.ended() })
}

// shardOf returns the shard of a job's team.
func (s *scenario) shardOf(jobID string) int {
	s.mu.Lock()
	job := s.jobs[jobID]
	s.mu.Unlock()
	return slices.IndexFunc(s.Settings.Deployment.Teams, func(team config.Team) bool { return team.Name == job.Team }) % 3
}

// TestScenarios runs the scenarios and checks that the expected events occur and that no rule is broken.
// After the faults, every job must reach a final status, and no job may keep waiting while a machine has
// capacity for it.
func TestScenarios(t *testing.T) {
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) { runScenario(t, c) })
		for range *scenarioSeeds - 1 {
			c.seed += scenarioSeedStep
			t.Run(fmt.Sprint(c.name, ", seed ", c.seed), func(t *testing.T) { runScenario(t, c) })
		}
	}
}

// runScenario runs a scenario, ends all faults, and checks the outcome.
func runScenario(t *testing.T, c scenarioCase) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx := simulationContext(t)
		scenario := newScenario(ctx, c)
		scenario.start()
		c.run(scenario)
		healAll(scenario.Simulation, scenario.hooks)
		scenario.checkAllServed(t)
		if scenario.confirmedCancellations() == 0 && len(scenario.cancelled) > 0 {
			t.Error("no cancellation was confirmed to a user: the scenario checks nothing")
		}
		scenario.cancelLongJobs(len(scenario.longJobs))
		scenario.awaitAll(t, append(scenario.awaitedJobs, scenario.cancelled...), 120)
		time.Sleep(seconds(scenario.Settings.Deployment.Workers.CancelS + 2)) // cancelled tasks must be gone by now
		for _, b := range scenario.BrokenRules() {
			t.Error(b)
		}
		scenario.checkCounts(t, c.expected)
	})
}

// newScenario creates a scenario's simulation. If SCENARIO_LOG is set, the controllers log to standard
// error.
func newScenario(ctx context.Context, c scenarioCase) *scenario {
	cfg := testSettings()
	cfg.Deployment.Teams[0].CpusMax = 0
	cfg.Deployment.Workers.CancelS = 36
	s := &scenario{Simulation: NewSimulation(ctx, cfg, c.seed), hooks: &faultHooks{}, counts: map[string]int{}}
	s.Capacity = 14
	if os.Getenv("SCENARIO_LOG") != "" {
		s.Log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	s.hooks.install(s.Simulation)
	if c.setup != nil {
		c.setup(s)
	}
	return s
}

// start starts the controllers and machines, and submits the jobs that run when the faults begin.
func (s *scenario) start() {
	for i := range 3 {
		s.Start(i)
	}
	s.ExchangePeerHeartbeats()
	for i := range 9 {
		s.AddMachine(s.Settings.Deployment.Zones[i%3], false)
	}
	time.Sleep(3 * time.Second)
	s.submitLongJobs(16, JobSpec{})
	s.awaitedJobs = append(s.awaitedJobs, s.submitSpreadJobs()...)
	time.Sleep(12 * time.Second)
}

// checkCounts checks that the expected events occurred, and that those with "!" did not.
func (s *scenario) checkCounts(t *testing.T, expected string) {
	t.Helper()
	for _, event := range strings.Split(expected, ", ") {
		if name, forbidden := strings.CutPrefix(event, "!"); event != "" && (s.counts[name] > 0) == forbidden {
			t.Errorf("event %q occurred %d times", name, s.counts[name])
		}
	}
	for event, n := range s.counts {
		t.Logf("%s: %d", event, n)
	}
	t.Logf("%d controllers killed, leadership taken %d times, %d cancellations confirmed, %d task starts after one, %d tasks killed by expired leases",
		s.KillCount.Load(), s.LeaderChanges.Load(), s.confirmedCancellations(), s.StartsAfterCancel, s.LeaseKills)
}

// checkNoWaitBesideCapacity watches the jobs for a time after the faults: none may wait for more than 90 s
// of it while a machine has capacity for it.
func (sim *Simulation) checkNoWaitBesideCapacity(t *testing.T, duration time.Duration) {
	t.Helper()
	waitingSince := map[*Job]time.Time{}
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Second)
		stillWaiting := map[*Job]time.Time{}
		for _, j := range sim.WaitingDespiteCapacity() {
			at, ok := waitingSince[j]
			if !ok {
				at = time.Now()
			}
			if stillWaiting[j] = at; time.Since(at) > 90*time.Second {
				t.Errorf("%s of team %s has waited for more than 90 s although a machine has capacity for it", j.ID, j.Team)
			}
		}
		waitingSince = stillWaiting
	}
}
