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

// scenario is a meeting of the users' list, brought about in a world of three controllers, nine machines and long jobs.
type scenario struct {
	*Simulation
	hooks            *hooks
	long             []*Job // uncancelled, two tasks each that run for an hour
	dependencyFailed []*Job // called off
	far              []*Job // tasks that end far apart
	counting         sync.Mutex
	counts           map[string]int
}

// count notes that something of the meeting came about.
func (s *scenario) count(what string, n int) {
	s.counting.Lock()
	defer s.counting.Unlock()
	s.counts[what] += n
}

// cancelJob has users cancel so many of the long jobs now.
func (s *scenario) cancelJob(n int) {
	n = min(n, len(s.long))
	for _, j := range s.long[:n] {
		s.CancelNow(j)
	}
	s.dependencyFailed, s.long = append(s.dependencyFailed, s.long[:n]...), s.long[n:]
}

// preferJobsIn moves the long jobs that have a task in a zone to the front, so that they are cancelled first.
func (s *scenario) preferJobsIn(zone string) {
	isInZone := func(m *Machine) bool { return m.Zone == zone }
	var inZone, others []*Job
	for _, job := range s.long {
		if slices.ContainsFunc(s.machinesOf(job), isInZone) {
			inZone = append(inZone, job)
		} else {
			others = append(others, job)
		}
	}
	s.long = append(inZone, others...)
}

// told is how many of the jobs that were called off are known to their users to be cancelled.
func (s *scenario) told() (n int) {
	for _, j := range s.dependencyFailed {
		if s.Told(j) == protocol.Cancelled {
			n++
		}
	}
	return n
}

// more submits long jobs of every team.
func (s *scenario) more(n int, want JobSpec) {
	for i := range n {
		want.Team = s.Settings.Deployment.Teams[i%4].Name
		want.Tasks, want.Cpus, want.Run = cmp.Or(want.Tasks, 2), cmp.Or(want.Cpus, 4), time.Hour
		s.long = append(s.long, s.User(want))
	}
}

// stream submits one-task jobs, four a second; a quarter is cancelled, within three seconds.
func (s *scenario) stream(d time.Duration) {
	for i := range int(4 * d.Seconds()) {
		w := JobSpec{Team: s.Settings.Deployment.Teams[i%4].Name, Tasks: 1, Cpus: 1, Run: s.advanceTo(2*time.Second, 8*time.Second)}
		if i%4 == 1 {
			w.CancelAfter = s.advanceTo(time.Millisecond, 3*time.Second)
		}
		s.far = append(s.far, s.User(w))
		time.Sleep(250 * time.Millisecond)
	}
}

// hit changes machines that hold tasks of the jobs that a test is about, so many at most.
func (s *scenario) hit(most int, f func(*Machine), jobs ...*Job) (hit []*Machine) {
	for _, j := range jobs {
		for _, m := range s.machinesOf(j) {
			if len(hit) < most && !slices.Contains(hit, m) {
				hit = append(hit, m)
				s.Set(m, f)
			}
		}
	}
	return hit
}

// next ends the leader and brings it back a while later.
func (s *scenario) next(back time.Duration) {
	i := theLeader(s.Simulation)
	if s.Controller(i).ended() {
		return
	}
	s.Kill(i)
	go func() {
		time.Sleep(back)
		if s.Controller(i).ended() {
			s.Start(i)
		}
	}()
}

// isLeader is how often leadership was taken while f ran.
func (s *scenario) isLeader(f func()) {
	before := s.IsLeader.Load()
	f()
	s.count("leads", int(s.IsLeader.Load()-before))
}

// scenarios are the meetings of the users' list that no other test brings about for certain. What must have come about is
// counted: a scene whose count stays 0 fails.
var scenarios = []struct {
	name  string
	setup func(s *scenario)
	play  func(s *scenario)
	must  string // what must have come about, beside cancellations that users were told
}{
	{"close looks, cancelled at once too", func(s *scenario) { s.CloseLooks = true }, func(s *scenario) {
		go func() { time.Sleep(8 * time.Second); s.next(3 * time.Second) }()
		s.stream(25 * time.Second)
		s.cancelJob(4)
		time.Sleep(5 * time.Second)
		s.count("looks", int(s.Looks.Load()))
	}, "looks"},
	{"close looks while only answers are lost", func(s *scenario) {
		s.CloseLooks = true
		s.LostAnswers = func(string, protocol.Txn) bool { return s.hooks.lost.Load() && s.Random.IntN(3) == 0 }
	}, func(s *scenario) {
		s.hooks.lost.Store(true)
		s.stream(25 * time.Second)
		s.cancelJob(4)
		time.Sleep(5 * time.Second)
		s.count("looks", int(s.Looks.Load()))
		s.lostKinds("job", "rack")
	}, "lost job, lost rack"},
	{"one-task jobs for two minutes, a quarter cancelled", nil, func(s *scenario) {
		go func() { time.Sleep(40 * time.Second); s.next(3 * time.Second) }()
		s.stream(120 * time.Second)
		s.count("jobs", len(s.far))
	}, "jobs"},
	{"cancelled while work changes hands", func(s *scenario) { s.watchOwnershipChanges() }, func(s *scenario) {
		for i := range 3 {
			owner := max(0, s.Owner(i))
			s.Kill(owner)
			for range 4 { // from the end to after the takeover
				time.Sleep(s.advanceTo(400*time.Millisecond, 1100*time.Millisecond))
				s.cancelJob(1)
			}
			s.Start(owner)
			time.Sleep(6 * time.Second)
		}
	}, "cancelled between owners"},
	{"the leader ends while machines can't be reached or are deaf", nil, func(s *scenario) {
		n := len(s.hit(2, CutOff(true), s.long[:2]...)) + len(s.hit(2, DeafMachine(true), s.long[2:4]...))
		s.count("machines", n)
		s.cancelJob(4)
		s.isLeader(func() { s.next(8 * time.Second); time.Sleep(50 * time.Second) })
	}, "machines, leads"},
	{"teams at their limit, cancelled on machines that hang, new leaders", func(s *scenario) { s.limit(); s.slowHeartbeats() }, func(s *scenario) {
		s.cancelJob(6)
		hit := s.hit(6, HangingMachine(true), s.dependencyFailed...)
		s.count("machines", len(hit))
		s.isLeader(func() {
			for range 4 {
				time.Sleep(2 * time.Second)
				s.next(4 * time.Second)
				time.Sleep(7 * time.Second)
			}
		})
	}, "machines, leads, at the limit"},
	{"teams at their limit, cancelled on machines cut off, a new leader", func(s *scenario) { s.limit() }, func(s *scenario) {
		hit := s.hit(4, CutOff(true), s.long[:4]...)
		s.count("machines", len(hit))
		s.isLeader(func() { s.next(5 * time.Second); time.Sleep(time.Second); s.cancelJob(4); time.Sleep(30 * time.Second) })
	}, "machines, leads, at the limit"},
	{"cancelled on machines that hang, while owners change", func(s *scenario) { s.slowHeartbeats() }, func(s *scenario) {
		s.cancelJob(6)
		s.count("machines", len(s.hit(4, HangingMachine(true), s.dependencyFailed...)))
		for i := range 14 { // no owner is left for as long as it takes to call a machine silent
			time.Sleep(2500 * time.Millisecond)
			s.Again(time.Second, i%3)
		}
	}, "machines"},
	{"cancelled on machines that hang, at a state service that flaps", nil, func(s *scenario) {
		s.cancelJob(6)
		s.count("machines", len(s.hit(4, HangingMachine(true), s.dependencyFailed...)))
		for range 9 {
			s.Store.SetDown(true)
			time.Sleep(3300 * time.Millisecond)
			s.Store.SetDown(false)
			time.Sleep(800 * time.Millisecond)
		}
	}, "machines"},
	{"cancelled on deaf machines, four in ten and more", func(s *scenario) { s.slowHeartbeats() }, func(s *scenario) {
		s.count("machines", len(s.hit(7, DeafMachine(true), s.long...)))
		s.cancelJob(6)
		time.Sleep(45 * time.Second)
	}, "machines"},
	{"all nodes away for longer than a lease, cancelled just before", nil, func(s *scenario) {
		s.cancelJob(4)
		for range 100 {
			if time.Sleep(50 * time.Millisecond); s.told() == 4 {
				break
			}
		}
		s.count("machines", len(s.hit(2, HangingMachine(true), s.dependencyFailed...)))
		for i := range 3 {
			s.Kill(i)
		}
		time.Sleep(13 * time.Second)
		for i := range 3 {
			s.Start(i)
		}
		time.Sleep(30 * time.Second)
		s.count("lease kills", s.Stats().LeaseKills)
	}, "lease kills"},
	{"a zone with its node cut off, cancelled meanwhile", nil, func(s *scenario) {
		zone := s.Controller(max(0, s.Owner(0))).Zone
		s.PartitionZone(zone)
		time.Sleep(time.Second)
		s.preferJobsIn(zone)
		s.cancelJob(6)
		for _, j := range s.dependencyFailed {
			for _, m := range s.machinesOf(j) {
				if m.Zone == zone {
					s.count("tasks there", 1)
				}
			}
		}
		time.Sleep(45 * time.Second) // longer than cancel_s
	}, "tasks there"},
	{"a leader without state and peers, cancelled through the new one", func(s *scenario) { s.CloseLooks = true }, func(s *scenario) {
		old := theLeader(s.Simulation)
		s.isLeader(func() {
			s.Controller(old).Cut(NoState | NoPeers)
			time.Sleep(5 * time.Second)
			for _, j := range s.long[:4] {
				if s.CancelAt(j, (old+1)%3) {
					s.count("by the new one", 1)
				}
			}
			s.cancelJob(4)
			time.Sleep(40 * time.Second)
		})
	}, "leads, by the new one"},
	{"arrays bound to one zone lose machines", func(s *scenario) { s.CapacityOf = 12 }, func(s *scenario) {
		for i := range 4 {
			s.far = append(s.far, s.User(JobSpec{Team: s.Settings.Deployment.Teams[i].Name, Tasks: 6, Cpus: 4, Run: 20 * time.Second, Zone: "b"}))
		}
		time.Sleep(8 * time.Second)
		for _, m := range s.hit(2, PreemptionNotice(time.Second), s.far...) {
			s.Die(m)
			s.count("machines", 1)
		}
		s.next(3 * time.Second)
		time.Sleep(20 * time.Second)
	}, "machines"},
	{"called off, asked and submitted again at the end of the last task", func(s *scenario) {
		s.CloseLooks = true
		s.AtEnd = func(j *Job) {
			if s.Random.IntN(2) == 0 {
				s.count("at the end", 1)
				s.CancelNow(j)
			}
			s.CloseLook(j)
		}
	}, func(s *scenario) {
		s.hooks.slow.Store(true) // the end may be committed between a look and the cancellation
		for i := range 40 {
			s.far = append(s.far, s.User(JobSpec{Team: s.Settings.Deployment.Teams[i%4].Name, Tasks: 1 + i%3, Cpus: 1, Run: s.advanceTo(time.Second, 3*time.Second)}))
			time.Sleep(300 * time.Millisecond)
		}
	}, "at the end"},
	{"ten leaders in two minutes, in an outage too", nil, func(s *scenario) {
		s.isLeader(func() {
			for i := range 11 {
				s.next(3 * time.Second)
				s.cancelJob(i % 2)
				if i == 5 {
					s.Store.SetDown(true)
					time.Sleep(4 * time.Second)
					s.Store.SetDown(false)
				}
				time.Sleep(10 * time.Second)
			}
		})
	}, "leads"},
	{"old reports at every node as a leader begins", func(s *scenario) {
		s.KeptHeartbeats = func(string) bool { return s.hooks.keep.Load() && s.Random.IntN(2) == 0 }
	}, func(s *scenario) {
		s.isLeader(func() {
			for range 4 {
				s.hooks.keep.Store(true)
				time.Sleep(3 * time.Second)
				s.hooks.keep.Store(false)
				s.cancelJob(1)
				n := len(s.long)
				s.more(4, JobSpec{Cpus: 1}) // the kept heartbeats know nothing of them
				time.Sleep(s.advanceTo(4*time.Second, 8*time.Second))
				hit := s.hit(9, HangingMachine(true), s.long[n:]...) // and are the first that their new owners hear
				led := s.IsLeader.Load()
				s.next(6 * time.Second)
				for range 60 {
					if time.Sleep(100 * time.Millisecond); s.IsLeader.Load() > led {
						break
					}
				}
				time.Sleep(700 * time.Millisecond)
				for _, m := range hit {
					s.Set(m, HangingMachine(false))
				}
				time.Sleep(4 * time.Second)
			}
		})
		s.count("copies", int(s.CopiesToNext.Load()))
	}, "leads, copies"},
	{"mute machines", nil, func(s *scenario) {
		hit := s.hit(3, MuteMachine(true), s.long...)
		s.count("machines", len(hit))
		// What they lose must not begin again and again where no lease can be kept up.
		time.Sleep(16 * time.Second) // their leases have run out by now
		before := s.Stats()
		late := s.User(JobSpec{Team: "red", Tasks: 6, Cpus: 4, Run: 25 * time.Second})
		s.far = append(s.far, late)
		s.cancelJob(3)
		time.Sleep(60 * time.Second)
		if killed := s.Stats().LeaseKills - before.LeaseKills; killed > 0 {
			s.count("killed again", killed)
		}
		if s.Told(late) != protocol.Done {
			s.count("not done", 1)
		}
	}, "machines, !killed again, !not done"},
	{"deaf machines and a job that waits", nil, func(s *scenario) {
		s.count("machines", len(s.hit(3, DeafMachine(true), s.long...)))
		late := s.User(JobSpec{Team: "red", Tasks: 6, Cpus: 4, Run: 10 * time.Second})
		s.far = append(s.far, late)
		time.Sleep(60 * time.Second)
		if s.Told(late) != protocol.Done {
			s.count("not done", 1)
		}
	}, "machines, !not done"},
	{"machines up within two seconds, writes lag, the leader ends", func(s *scenario) {
		s.Boot = func() time.Duration { return s.advanceTo(300*time.Millisecond, 2*time.Second) }
		s.CapacityOf = 18
		s.Late = func(string, protocol.Txn) time.Duration {
			if !s.hooks.late.Load() || s.Random.IntN(3) > 0 {
				return 0
			}
			return s.advanceTo(2*time.Second, 12*time.Second)
		}
	}, func(s *scenario) {
		had := len(s.Machines())
		s.hooks.late.Store(true)
		s.more(16, JobSpec{})
		time.Sleep(5 * time.Second)
		s.next(4 * time.Second)
		s.cancelJob(4)
		time.Sleep(25 * time.Second)
		s.count("late", int(s.LateDone.Load()+s.LateDenied.Load()))
		s.count("machines", len(s.Machines())-had)
	}, "late, machines"},
	{"more work than room, urgent and not, over slow links", func(s *scenario) { s.CapacityOf = 9 }, func(s *scenario) {
		s.hooks.slow.Store(true)
		for i := range 24 {
			urgency := []string{"low", "normal", "high", "production"}[i%4]
			s.far = append(s.far, s.User(JobSpec{Team: s.Settings.Deployment.Teams[i%4].Name, Tasks: 5, Cpus: 4, Run: 12 * time.Second, Urgency: urgency}))
		}
		time.Sleep(20 * time.Second)
		s.count("waiting", 2*len(s.long)+5*24-s.Running())
		s.cancelJob(4)
		time.Sleep(10 * time.Second)
	}, "waiting"},
	{"every kind of record late, after newer ones", func(s *scenario) {
		s.Late = func(_ string, t protocol.Txn) time.Duration {
			if !s.hooks.late.Load() || !s.everyThird("late ", t) {
				return 0
			}
			return s.advanceTo(2*time.Second, 12*time.Second)
		}
	}, func(s *scenario) {
		s.hooks.late.Store(true)
		for range 5 {
			s.cancelJob(1)
			s.next(2 * time.Second)
			s.stream(8 * time.Second)
		}
	}, "late job, late rack, late share, late leader, late node"},
	{"answers lost at once of every kind of record", func(s *scenario) {
		s.LostAnswers = func(_ string, t protocol.Txn) bool { return s.hooks.lost.Load() && s.everyThird("sent ", t) }
		s.CloseLooks = true
	}, func(s *scenario) {
		s.hooks.lost.Store(true)
		for range 5 {
			s.cancelJob(1)
			s.next(2 * time.Second)
			s.stream(8 * time.Second)
		}
		s.lostKinds("job", "rack", "share", "leader", "node")
	}, "lost job, lost rack, lost share, lost leader, lost node"},
	{"old reports after newer ones, of earlier sessions too", nil, func(s *scenario) {
		s.hooks.copies.Store(true)
		hit := s.hit(2, CutOff(true), s.long[:2]...)
		s.stream(14 * time.Second)
		for _, m := range hit { // with a new session
			s.Set(m, CutOff(false))
		}
		s.cancelJob(4)
		s.next(3 * time.Second)
		s.stream(20 * time.Second)
		s.count("copies", int(s.Copies.Load()))
	}, "copies"},
	{"commands and answers held up, machines go on", func(s *scenario) {
		s.LateCommands = func(string, protocol.DirectCommands) time.Duration {
			if !s.hooks.commands.Load() || s.Random.IntN(3) > 0 {
				return 0
			}
			s.count("commands", 1)
			return s.advanceTo(time.Second, 14*time.Second)
		}
	}, func(s *scenario) {
		s.hooks.commands.Store(true)
		s.hooks.answers.Store(true)
		for i := range 3 {
			hit := s.hit(2, HangingMachine(true), s.long...)
			s.cancelJob(2)
			s.stream(7 * time.Second)
			for _, m := range hit {
				s.Set(m, HangingMachine(false))
			}
			if i == 1 {
				s.next(3 * time.Second)
			}
			s.stream(5 * time.Second)
		}
		time.Sleep(10 * time.Second)
	}, "commands"},
	{"tasks that end far apart, over changes of the leader", nil, func(s *scenario) {
		for i := range 6 {
			s.far = append(s.far, s.User(JobSpec{Team: s.Settings.Deployment.Teams[i%4].Name, Tasks: 3, Cpus: 1,
				Runs: []time.Duration{2 * time.Second, 22 * time.Second, 44 * time.Second}}))
		}
		ends := func() (n int) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, j := range s.far {
				n += len(j.done)
			}
			return n
		}
		s.isLeader(func() {
			for i := range 3 {
				time.Sleep(12 * time.Second)
				s.count(fmt.Sprint("ended before lead ", i+2), ends())
				s.next(4 * time.Second)
			}
			time.Sleep(10 * time.Second)
		})
		s.count("ran again", s.RanAgain)
	}, "leads, ended before lead 2, ended before lead 4, !ran again"},
	{"odd requests", nil, func(s *scenario) {
		s.stream(10 * time.Second)
		s.cancelJob(3)
		time.Sleep(4 * time.Second)
		for _, j := range append(slices.Clone(s.far[:12]), append(s.dependencyFailed, s.long...)...) {
			s.count("answers", s.OddRequests(j))
			if s.Told(j) == protocol.Done {
				s.CancelNow(j) // done already: that stays
				s.count("done called off", 1)
			}
		}
	}, "answers, done called off"},
	{"users call off many jobs at once, their machines hang", nil, func(s *scenario) {
		s.cancelJob(8)
		s.count("machines", len(s.hit(8, HangingMachine(true), s.dependencyFailed...)))
		time.Sleep(45 * time.Second) // longer than cancel_s
	}, "machines"},
}

// everyThird tells whether a transaction is the first, the fourth, the seventh and so on of its kind.
func (s *scenario) everyThird(what string, t protocol.Txn) bool {
	kind, _, _ := strings.Cut(strings.TrimPrefix(t.Then[0].Put+t.Then[0].Delete, storage.Root), "/")
	s.count(what+kind, 1)
	s.counting.Lock()
	defer s.counting.Unlock()
	return s.counts[what+kind]%3 == 1
}

// lostKinds counts the kinds of records whose writers lost an answer.
func (s *scenario) lostKinds(kinds ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range kinds {
		s.count("lost "+k, s.AnswersLost[k])
	}
}

// slowHeartbeats has workers report as seldom as those of the largest deployments.
func (s *scenario) slowHeartbeats() {
	s.Settings.Deployment.Workers = config.Workers{HeartbeatS: 5, LeaseS: 26.5, GangWaitS: 30, GangPeerS: 4, CancelS: 46.5}
}

// limit gives every team a limit that its jobs reach, and checks that they have.
func (s *scenario) limit() {
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

// watchOwnershipChanges counts cancellations that are committed while a job's shard is without its owner, or within two
// seconds of its next one.
func (s *scenario) watchOwnershipChanges() {
	at := map[int]time.Time{}
	records := s.Store.Check
	s.Store.Check = func(txn protocol.Txn) {
		records(txn)
		for _, change := range txn.Then {
			var share int
			if n, _ := fmt.Sscanf(change.Put, storage.Root+"share/%d", &share); n == 1 {
				at[share] = time.Now()
			}
			if id, ok := storage.JobIDOf(change.Put); ok && strings.Contains(string(change.Value), `"f":"cancelled"`) {
				s.mu.Lock()
				j := s.jobs[id]
				s.mu.Unlock()
				i := slices.IndexFunc(s.Settings.Deployment.Teams, func(x config.Team) bool { return x.Name == j.Team })
				dead := slices.ContainsFunc(s.controllers, func(n *ControllerProcess) bool { return n.ended() })
				if share := i % 3; dead || time.Since(at[share]) < 2*time.Second {
					s.count("cancelled between owners", 1)
				}
			}
		}
	}
}

// TestScenarios plays the meetings of the users' list one by one, and checks that each came about, every rule, and that
// once all is over every job is answered and nothing waits beside room.
func TestScenarios(t *testing.T) {
	for i, x := range scenarios {
		t.Run(x.name, func(t *testing.T) { playScenario(t, 9000+uint64(i), x.setup, x.play, x.must) })
	}
}

func playScenario(t *testing.T, seed uint64, setup, play func(*scenario), must string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(time.Minute) }()
		cfg := settings()
		cfg.Deployment.Teams[0].CpusMax = 0
		cfg.Deployment.Workers.CancelS = 36
		sim := NewSimulation(ctx, cfg, seed)
		sim.CapacityOf = 14
		if os.Getenv("SCENE_LOG") != "" {
			sim.Log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
		}
		simulatorScenario := &scenario{Simulation: sim, hooks: &hooks{}, counts: map[string]int{}}
		musts := strings.Split(must, ", ")
		simulatorScenario.hooks.install(sim)
		if setup != nil {
			setup(simulatorScenario)
		}
		for i := range 3 {
			sim.Start(i)
		}
		sim.PeerDelay()
		for i := range 9 {
			sim.AddMachine(cfg.Deployment.Zones[i%3], false)
		}
		time.Sleep(3 * time.Second)
		simulatorScenario.more(16, JobSpec{})
		for k := range 3 {
			simulatorScenario.far = append(simulatorScenario.far, sim.User(JobSpec{Team: cfg.Deployment.Teams[k].Name, Tasks: 2 + k%2, Cpus: 1, Runs: []time.Duration{2 * time.Second, 50 * time.Second, 25 * time.Second}}))
		}
		time.Sleep(12 * time.Second)
		play(simulatorScenario)
		healAll(sim, simulatorScenario.hooks)
		sim.watchWaitingBesideCapacity(t, 95*time.Second)
		for _, j := range sim.Unanswered(time.Now().Add(-75 * time.Second)) {
			t.Errorf("%s has had no answer for 75 s after all is over", j.ID)
		}
		if simulatorScenario.told() == 0 && len(simulatorScenario.dependencyFailed) > 0 {
			t.Error("no user was told of a cancellation: nothing is proved")
		}
		simulatorScenario.cancelJob(len(simulatorScenario.long))
		sim.awaitAll(t, append(simulatorScenario.far, simulatorScenario.dependencyFailed...), 120)
		time.Sleep(seconds(cfg.Deployment.Workers.CancelS + 2)) // cancelled tasks must be gone by now
		for _, b := range sim.BrokenRules() {
			t.Error(b)
		}
		for _, k := range musts {
			if what, no := strings.CutPrefix(k, "!"); k != "" && (simulatorScenario.counts[what] > 0) == no {
				t.Errorf("%q came about %d times", what, simulatorScenario.counts[what])
			}
		}
		for k, n := range simulatorScenario.counts {
			t.Logf("%s: %d", k, n)
		}
		t.Logf("%d nodes ended, lead taken %d times, %d cancellations, %d starts after one, %d tasks killed by leases",
			sim.KillCount.Load(), sim.IsLeader.Load(), simulatorScenario.told(), sim.StartsAfterCancel, sim.LeaseKills)
	})
}

// watchWaitingBesideCapacity watches for a time after all troubles: nobody may wait beside room for 90 s of it.
func (w *Simulation) watchWaitingBesideCapacity(t *testing.T, duration time.Duration) {
	t.Helper()
	since := map[*Job]time.Time{}
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Second)
		now := map[*Job]time.Time{}
		for _, j := range w.Beside() {
			at, ok := since[j]
			if !ok {
				at = time.Now()
			}
			if now[j] = at; time.Since(at) > 90*time.Second {
				t.Errorf("%s of %s has waited for 90 s beside room", j.ID, j.Team)
			}
		}
		since = now
	}
}
