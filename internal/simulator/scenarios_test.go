package simulator

import (
	"cmp"
	"context"
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

// scenario is a course of overlapping faults, brought about in a simulation of three controllers, nine machines and long jobs.
type scenario struct {
	*Simulation
	hooks       *faultHooks
	longJobs    []*Job // uncancelled, two tasks each that run for an hour
	cancelled   []*Job
	awaitedJobs []*Job // tasks that end far apart
	countsMu    sync.Mutex
	counts      map[string]int
}

// count notes that something of the scenario came about.
func (s *scenario) count(event string, n int) {
	s.countsMu.Lock()
	defer s.countsMu.Unlock()
	s.counts[event] += n
}

// cancelLongJobs has users cancel so many of the long jobs now.
func (s *scenario) cancelLongJobs(n int) {
	n = min(n, len(s.longJobs))
	for _, j := range s.longJobs[:n] {
		s.CancelNow(j)
	}
	s.cancelled, s.longJobs = append(s.cancelled, s.longJobs[:n]...), s.longJobs[n:]
}

// preferJobsIn moves the long jobs that have a task in a zone to the front, so that they are cancelled first.
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

// confirmedCancellations is how many of the jobs that were cancelled are known to their users to be cancelled.
func (s *scenario) confirmedCancellations() (n int) {
	for _, j := range s.cancelled {
		if s.Told(j) == protocol.Cancelled {
			n++
		}
	}
	return n
}

// submitLongJobs submits long jobs of every team.
func (s *scenario) submitLongJobs(n int, spec JobSpec) {
	for i := range n {
		spec.Team = s.Settings.Deployment.Teams[i%4].Name
		spec.Tasks, spec.Cpus, spec.Run = cmp.Or(spec.Tasks, 2), cmp.Or(spec.Cpus, 4), time.Hour
		s.longJobs = append(s.longJobs, s.User(spec))
	}
}

// submitStream submits one-task jobs, four a second; a quarter is cancelled, within three seconds.
func (s *scenario) submitStream(duration time.Duration) {
	for i := range int(4 * duration.Seconds()) {
		spec := JobSpec{Team: s.Settings.Deployment.Teams[i%4].Name, Tasks: 1, Cpus: 1, Run: s.randomDuration(2*time.Second, 8*time.Second)}
		if i%4 == 1 {
			spec.CancelAfter = s.randomDuration(time.Millisecond, 3*time.Second)
		}
		s.awaitedJobs = append(s.awaitedJobs, s.User(spec))
		time.Sleep(250 * time.Millisecond)
	}
}

// changeMachinesOf changes machines that hold tasks of the jobs that a test is about, so many at most.
func (s *scenario) changeMachinesOf(limit int, change func(*Machine), jobs ...*Job) (changed []*Machine) {
	for _, j := range jobs {
		for _, m := range s.machinesOf(j) {
			if len(changed) < limit && !slices.Contains(changed, m) {
				changed = append(changed, m)
				s.Set(m, change)
			}
		}
	}
	return changed
}

// restartLeader ends the leader and brings it back a while later.
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

// countLeaderChanges is how often leadership was taken while f ran.
func (s *scenario) countLeaderChanges(f func()) {
	before := s.IsLeader.Load()
	f()
	s.count("leads", int(s.IsLeader.Load()-before))
}

// scenarioCase is a scenario to play. What must have come about is counted: a scenario whose count stays 0 fails.
type scenarioCase struct {
	name     string
	seed     uint64
	setup    func(s *scenario)
	run      func(s *scenario)
	expected string // what must have come about, or must not with "!", beside cancellations that users were told
}

// scenarios are the overlapping faults that users have asked about and that no other test brings about for certain.
var scenarios = slices.Concat(userScenarios, controllerScenarios, machineScenarios, messageScenarios)

// isEveryThird tells whether a transaction is the first, the fourth, the seventh and so on of its kind.
func (s *scenario) isEveryThird(prefix string, t protocol.Txn) bool {
	kind, _, _ := strings.Cut(strings.TrimPrefix(t.Then[0].Put+t.Then[0].Delete, storage.Root), "/")
	s.count(prefix+kind, 1)
	s.countsMu.Lock()
	defer s.countsMu.Unlock()
	return s.counts[prefix+kind]%3 == 1
}

// countLostAnswers counts the kinds of records whose writers lost an answer.
func (s *scenario) countLostAnswers(kinds ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range kinds {
		s.count("lost "+k, s.AnswersLost[k])
	}
}

// slowHeartbeats has workers send heartbeats as seldom as those of the largest deployments.
func (s *scenario) slowHeartbeats() {
	s.Settings.Deployment.Workers = config.Workers{HeartbeatS: 5, LeaseS: 26.5, GangWaitS: 30, GangPeerS: 4, CancelS: 46.5}
}

// limitTeams gives every team a limitTeams that its jobs reach, and checks that they have.
func (s *scenario) limitTeams() {
	for i := range s.Settings.Deployment.Teams {
		s.Settings.Deployment.Teams[i].CpusMax = 24
	}
	go func() {
		time.Sleep(15 * time.Second)
		used := map[string]float64{}
		s.mu.Lock()
		for _, j := range s.jobs {
			used[j.Team] += float64(len(j.on)) * j.Cpus
		}
		s.mu.Unlock()
		for _, t := range s.Settings.Deployment.Teams {
			if used[t.Name] == t.CpusMax {
				s.count("at the limit", 1)
			}
		}
	}()
}

// countCancellationsBetweenOwners counts cancellations that are committed while a job's shard is without its owner, or within two
// seconds of its next one.
func (s *scenario) countCancellationsBetweenOwners() {
	changedAt := map[int]time.Time{} // by shard
	previousCheck := s.Store.Check
	s.Store.Check = func(txn protocol.Txn) {
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

func (s *scenario) hasEndedController() bool {
	return slices.ContainsFunc(s.controllers, func(process *ControllerProcess) bool { return process.ended() })
}

// shardOf is the shard of a job's team.
func (s *scenario) shardOf(jobID string) int {
	s.mu.Lock()
	job := s.jobs[jobID]
	s.mu.Unlock()
	return slices.IndexFunc(s.Settings.Deployment.Teams, func(team config.Team) bool { return team.Name == job.Team }) % 3
}

// TestScenarios plays the scenarios one by one, and checks that each came about, every rule, and that
// once all is over every job is answered and nothing waits beside capacity.
func TestScenarios(t *testing.T) {
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) { runScenario(t, c) })
	}
}

// runScenario plays a scenario, ends all faults, and checks what became of it.
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
			t.Error("no user was told of a cancellation: nothing is proved")
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

// newScenario sets a scenario up.
func newScenario(ctx context.Context, c scenarioCase) *scenario {
	cfg := testSettings()
	cfg.Deployment.Teams[0].CpusMax = 0
	cfg.Deployment.Workers.CancelS = 36
	s := &scenario{Simulation: NewSimulation(ctx, cfg, c.seed), hooks: &faultHooks{}, counts: map[string]int{}}
	s.CapacityOf = 14
	if os.Getenv("SCENARIO_LOG") != "" {
		s.Log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	s.hooks.install(s.Simulation)
	if c.setup != nil {
		c.setup(s)
	}
	return s
}

// start starts the controllers and machines, and submits the jobs that are there as the faults start.
func (s *scenario) start() {
	for i := range 3 {
		s.Start(i)
	}
	s.PeerDelay()
	for i := range 9 {
		s.AddMachine(s.Settings.Deployment.Zones[i%3], false)
	}
	time.Sleep(3 * time.Second)
	s.submitLongJobs(16, JobSpec{})
	s.awaitedJobs = append(s.awaitedJobs, s.submitSpreadJobs()...)
	time.Sleep(12 * time.Second)
}

// checkCounts checks that all came about that must, and nothing that must not.
func (s *scenario) checkCounts(t *testing.T, expected string) {
	t.Helper()
	for _, event := range strings.Split(expected, ", ") {
		if name, forbidden := strings.CutPrefix(event, "!"); event != "" && (s.counts[name] > 0) == forbidden {
			t.Errorf("%q came about %d times", name, s.counts[name])
		}
	}
	for event, n := range s.counts {
		t.Logf("%s: %d", event, n)
	}
	t.Logf("%d controllers ended, lead taken %d times, %d cancellations, %d starts after one, %d tasks killed by leases",
		s.KillCount.Load(), s.IsLeader.Load(), s.confirmedCancellations(), s.StartsAfterCancel, s.LeaseKills)
}

// checkNoWaitBesideCapacity watches for a time after all faults: nobody may wait beside capacity for 90 s of it.
func (sim *Simulation) checkNoWaitBesideCapacity(t *testing.T, duration time.Duration) {
	t.Helper()
	waitingSince := map[*Job]time.Time{}
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Second)
		stillWaiting := map[*Job]time.Time{}
		for _, j := range sim.Beside() {
			at, ok := waitingSince[j]
			if !ok {
				at = time.Now()
			}
			if stillWaiting[j] = at; time.Since(at) > 90*time.Second {
				t.Errorf("%s of %s has waited for 90 s beside capacity", j.ID, j.Team)
			}
		}
		waitingSince = stillWaiting
	}
}
