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

// scene is a meeting of the users' list, brought about in a world of three nodes, nine machines and long jobs.
type scene struct {
	*World
	h        *hooks
	long     []*Job // uncancelled, two tasks each that run for an hour
	doomed   []*Job // called off
	far      []*Job // tasks that end far apart
	counting sync.Mutex
	counts   map[string]int
}

// count notes that something of the meeting came about.
func (s *scene) count(what string, n int) {
	s.counting.Lock()
	defer s.counting.Unlock()
	s.counts[what] += n
}

// callOff has users cancel so many of the long jobs now.
func (s *scene) callOff(n int) {
	n = min(n, len(s.long))
	for _, j := range s.long[:n] {
		s.CallOff(j)
	}
	s.doomed, s.long = append(s.doomed, s.long[:n]...), s.long[n:]
}

// told is how many of the jobs that were called off are known to their users to be cancelled.
func (s *scene) told() (n int) {
	for _, j := range s.doomed {
		if s.Told(j) == protocol.Cancelled {
			n++
		}
	}
	return n
}

// more submits long jobs of every team.
func (s *scene) more(n int, want Want) {
	for i := range n {
		want.Team = s.Cfg.Deployment.Teams[i%4].Name
		want.Tasks, want.Cpus, want.Run = cmp.Or(want.Tasks, 2), cmp.Or(want.Cpus, 4), time.Hour
		s.long = append(s.long, s.User(want))
	}
}

// stream submits one-task jobs, four a second; a quarter is cancelled, within three seconds.
func (s *scene) stream(d time.Duration) {
	for i := range int(4 * d.Seconds()) {
		w := Want{Team: s.Cfg.Deployment.Teams[i%4].Name, Tasks: 1, Cpus: 1, Run: s.upTo(2*time.Second, 8*time.Second)}
		if i%4 == 1 {
			w.CancelAfter = s.upTo(time.Millisecond, 3*time.Second)
		}
		s.far = append(s.far, s.User(w))
		time.Sleep(250 * time.Millisecond)
	}
}

// hit changes machines that hold tasks of the jobs that a test is about, so many at most.
func (s *scene) hit(most int, f func(*Machine), jobs ...*Job) (hit []*Machine) {
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
func (s *scene) next(back time.Duration) {
	i := theLeader(s.World)
	if s.Node(i).dead() {
		return
	}
	s.Kill(i)
	go func() {
		time.Sleep(back)
		if s.Node(i).dead() {
			s.Start(i)
		}
	}()
}

// leads is how often the lead was taken while f ran.
func (s *scene) leads(f func()) {
	before := s.Leads.Load()
	f()
	s.count("leads", int(s.Leads.Load()-before))
}

// scenes are the meetings of the users' list that no other test brings about for certain. What must have come about is
// counted: a scene whose count stays 0 fails.
var scenes = []struct {
	name  string
	setup func(s *scene)
	play  func(s *scene)
	must  string // what must have come about, beside cancellations that users were told
}{
	{"close looks, cancelled at once too", func(s *scene) { s.CloseLooks = true }, func(s *scene) {
		go func() { time.Sleep(8 * time.Second); s.next(3 * time.Second) }()
		s.stream(25 * time.Second)
		s.callOff(4)
		time.Sleep(5 * time.Second)
		s.count("looks", int(s.Looks.Load()))
	}, "looks"},
	{"close looks while only answers are lost", func(s *scene) {
		s.CloseLooks = true
		s.LostAnswers = func(string, protocol.Txn) bool { return s.h.lost.Load() && s.Rand.IntN(3) == 0 }
	}, func(s *scene) {
		s.h.lost.Store(true)
		s.stream(25 * time.Second)
		s.callOff(4)
		time.Sleep(5 * time.Second)
		s.count("looks", int(s.Looks.Load()))
		s.lostKinds("job", "rack")
	}, "lost job, lost rack"},
	{"one-task jobs for two minutes, a quarter cancelled", nil, func(s *scene) {
		go func() { time.Sleep(40 * time.Second); s.next(3 * time.Second) }()
		s.stream(120 * time.Second)
		s.count("jobs", len(s.far))
	}, "jobs"},
	{"cancelled while work changes hands", func(s *scene) { s.watchHands() }, func(s *scene) {
		for i := range 3 {
			owner := max(0, s.Owner(i))
			s.Kill(owner)
			for range 4 { // from the end to after the takeover
				time.Sleep(s.upTo(400*time.Millisecond, 1100*time.Millisecond))
				s.callOff(1)
			}
			s.Start(owner)
			time.Sleep(6 * time.Second)
		}
	}, "cancelled between owners"},
	{"the leader ends while machines can't be reached or are deaf", nil, func(s *scene) {
		n := len(s.hit(2, CutOff(true), s.long[:2]...)) + len(s.hit(2, Deaf(true), s.long[2:4]...))
		s.count("machines", n)
		s.callOff(4)
		s.leads(func() { s.next(8 * time.Second); time.Sleep(50 * time.Second) })
	}, "machines, leads"},
	{"teams at their limit, cancelled on machines that hang, new leaders", func(s *scene) { s.limit(); s.slowReports() }, func(s *scene) {
		s.callOff(6)
		hit := s.hit(6, Hang(true), s.doomed...)
		s.count("machines", len(hit))
		s.leads(func() {
			for range 4 {
				time.Sleep(2 * time.Second)
				s.next(4 * time.Second)
				time.Sleep(7 * time.Second)
			}
		})
	}, "machines, leads, at the limit"},
	{"teams at their limit, cancelled on machines cut off, a new leader", func(s *scene) { s.limit() }, func(s *scene) {
		hit := s.hit(4, CutOff(true), s.long[:4]...)
		s.count("machines", len(hit))
		s.leads(func() { s.next(5 * time.Second); time.Sleep(time.Second); s.callOff(4); time.Sleep(30 * time.Second) })
	}, "machines, leads, at the limit"},
	{"cancelled on machines that hang, while owners change", func(s *scene) { s.slowReports() }, func(s *scene) {
		s.callOff(6)
		s.count("machines", len(s.hit(4, Hang(true), s.doomed...)))
		for i := range 14 { // no owner is left for as long as it takes to call a machine silent
			time.Sleep(2500 * time.Millisecond)
			s.Again(time.Second, i%3)
		}
	}, "machines"},
	{"cancelled on machines that hang, at a state service that flaps", nil, func(s *scene) {
		s.callOff(6)
		s.count("machines", len(s.hit(4, Hang(true), s.doomed...)))
		for range 9 {
			s.Store.SetDown(true)
			time.Sleep(3300 * time.Millisecond)
			s.Store.SetDown(false)
			time.Sleep(800 * time.Millisecond)
		}
	}, "machines"},
	{"cancelled on deaf machines, four in ten and more", func(s *scene) { s.slowReports() }, func(s *scene) {
		s.count("machines", len(s.hit(7, Deaf(true), s.long...)))
		s.callOff(6)
		time.Sleep(45 * time.Second)
	}, "machines"},
	{"all nodes away for longer than a lease, cancelled just before", nil, func(s *scene) {
		s.callOff(4)
		for range 100 {
			if time.Sleep(50 * time.Millisecond); s.told() == 4 {
				break
			}
		}
		s.count("machines", len(s.hit(2, Hang(true), s.doomed...)))
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
	{"a zone with its node cut off, cancelled meanwhile", nil, func(s *scene) {
		zone := s.Node(max(0, s.Owner(0))).Zone
		s.CutZone(zone)
		time.Sleep(time.Second)
		s.callOff(6)
		for _, j := range s.doomed {
			for _, m := range s.machinesOf(j) {
				if m.Zone == zone {
					s.count("tasks there", 1)
				}
			}
		}
		time.Sleep(45 * time.Second) // longer than cancel_s
	}, "tasks there"},
	{"a leader without state and peers, cancelled through the new one", func(s *scene) { s.CloseLooks = true }, func(s *scene) {
		old := theLeader(s.World)
		s.leads(func() {
			s.Node(old).Cut(NoState | NoPeers)
			time.Sleep(5 * time.Second)
			for _, j := range s.long[:4] {
				if s.CancelAt(j, (old+1)%3) {
					s.count("by the new one", 1)
				}
			}
			s.callOff(4)
			time.Sleep(40 * time.Second)
		})
	}, "leads, by the new one"},
	{"arrays bound to one zone lose machines", func(s *scene) { s.Cap = 12 }, func(s *scene) {
		for i := range 4 {
			s.far = append(s.far, s.User(Want{Team: s.Cfg.Deployment.Teams[i].Name, Tasks: 6, Cpus: 4, Run: 20 * time.Second, Zone: "b"}))
		}
		time.Sleep(8 * time.Second)
		for _, m := range s.hit(2, Notice(time.Second), s.far...) {
			s.Die(m)
			s.count("machines", 1)
		}
		s.next(3 * time.Second)
		time.Sleep(20 * time.Second)
	}, "machines"},
	{"called off, asked and submitted again at the end of the last task", func(s *scene) {
		s.CloseLooks = true
		s.AtEnd = func(j *Job) {
			if s.Rand.IntN(2) == 0 {
				s.count("at the end", 1)
				s.CallOff(j)
			}
			s.CloseLook(j)
		}
	}, func(s *scene) {
		s.h.slow.Store(true) // the end may be committed between a look and the cancellation
		for i := range 40 {
			s.far = append(s.far, s.User(Want{Team: s.Cfg.Deployment.Teams[i%4].Name, Tasks: 1 + i%3, Cpus: 1, Run: s.upTo(time.Second, 3*time.Second)}))
			time.Sleep(300 * time.Millisecond)
		}
	}, "at the end"},
	{"ten leaders in two minutes, in an outage too", nil, func(s *scene) {
		s.leads(func() {
			for i := range 11 {
				s.next(3 * time.Second)
				s.callOff(i % 2)
				if i == 5 {
					s.Store.SetDown(true)
					time.Sleep(4 * time.Second)
					s.Store.SetDown(false)
				}
				time.Sleep(10 * time.Second)
			}
		})
	}, "leads"},
	{"old reports at every node as a leader begins", func(s *scene) {
		s.KeptReports = func(string) bool { return s.h.keep.Load() && s.Rand.IntN(2) == 0 }
	}, func(s *scene) {
		s.leads(func() {
			for range 4 {
				s.h.keep.Store(true)
				time.Sleep(3 * time.Second)
				s.h.keep.Store(false)
				s.callOff(1)
				n := len(s.long)
				s.more(4, Want{Cpus: 1}) // the kept reports know nothing of them
				time.Sleep(s.upTo(4*time.Second, 8*time.Second))
				hit := s.hit(9, Hang(true), s.long[n:]...) // and are the first that their new owners hear
				led := s.Leads.Load()
				s.next(6 * time.Second)
				for range 60 {
					if time.Sleep(100 * time.Millisecond); s.Leads.Load() > led {
						break
					}
				}
				time.Sleep(700 * time.Millisecond)
				for _, m := range hit {
					s.Set(m, Hang(false))
				}
				time.Sleep(4 * time.Second)
			}
		})
		s.count("copies", int(s.CopiesToNext.Load()))
	}, "leads, copies"},
	{"mute machines", nil, func(s *scene) {
		hit := s.hit(3, Mute(true), s.long...)
		s.count("machines", len(hit))
		// What they lose must not begin again and again where no lease can be kept up.
		time.Sleep(16 * time.Second) // their leases have run out by now
		before := s.Stats()
		late := s.User(Want{Team: "red", Tasks: 6, Cpus: 4, Run: 25 * time.Second})
		s.far = append(s.far, late)
		s.callOff(3)
		time.Sleep(60 * time.Second)
		if killed := s.Stats().LeaseKills - before.LeaseKills; killed > 0 {
			s.count("killed again", killed)
		}
		if s.Told(late) != protocol.Done {
			s.count("not done", 1)
		}
	}, "machines, !killed again, !not done"},
	{"deaf machines and a job that waits", nil, func(s *scene) {
		s.count("machines", len(s.hit(3, Deaf(true), s.long...)))
		late := s.User(Want{Team: "red", Tasks: 6, Cpus: 4, Run: 10 * time.Second})
		s.far = append(s.far, late)
		time.Sleep(60 * time.Second)
		if s.Told(late) != protocol.Done {
			s.count("not done", 1)
		}
	}, "machines, !not done"},
	{"machines up within two seconds, writes lag, the leader ends", func(s *scene) {
		s.Boot = func() time.Duration { return s.upTo(300*time.Millisecond, 2*time.Second) }
		s.Cap = 18
		s.Late = func(string, protocol.Txn) time.Duration {
			if !s.h.late.Load() || s.Rand.IntN(3) > 0 {
				return 0
			}
			return s.upTo(2*time.Second, 12*time.Second)
		}
	}, func(s *scene) {
		had := len(s.Machines())
		s.h.late.Store(true)
		s.more(16, Want{})
		time.Sleep(5 * time.Second)
		s.next(4 * time.Second)
		s.callOff(4)
		time.Sleep(25 * time.Second)
		s.count("late", int(s.LateDone.Load()+s.LateRefused.Load()))
		s.count("machines", len(s.Machines())-had)
	}, "late, machines"},
	{"more work than room, urgent and not, over slow links", func(s *scene) { s.Cap = 9 }, func(s *scene) {
		s.h.slow.Store(true)
		for i := range 24 {
			urgency := []string{"low", "normal", "high", "production"}[i%4]
			s.far = append(s.far, s.User(Want{Team: s.Cfg.Deployment.Teams[i%4].Name, Tasks: 5, Cpus: 4, Run: 12 * time.Second, Urgency: urgency}))
		}
		time.Sleep(20 * time.Second)
		s.count("waiting", 2*len(s.long)+5*24-s.Running())
		s.callOff(4)
		time.Sleep(10 * time.Second)
	}, "waiting"},
	{"every kind of record late, after newer ones", func(s *scene) {
		s.Late = func(_ string, t protocol.Txn) time.Duration {
			if !s.h.late.Load() || !s.everyThird("late ", t) {
				return 0
			}
			return s.upTo(2*time.Second, 12*time.Second)
		}
	}, func(s *scene) {
		s.h.late.Store(true)
		for range 5 {
			s.callOff(1)
			s.next(2 * time.Second)
			s.stream(8 * time.Second)
		}
	}, "late job, late rack, late share, late leader, late node"},
	{"answers lost at once of every kind of record", func(s *scene) {
		s.LostAnswers = func(_ string, t protocol.Txn) bool { return s.h.lost.Load() && s.everyThird("sent ", t) }
		s.CloseLooks = true
	}, func(s *scene) {
		s.h.lost.Store(true)
		for range 5 {
			s.callOff(1)
			s.next(2 * time.Second)
			s.stream(8 * time.Second)
		}
		s.lostKinds("job", "rack", "share", "leader", "node")
	}, "lost job, lost rack, lost share, lost leader, lost node"},
	{"old reports after newer ones, of earlier sessions too", nil, func(s *scene) {
		s.h.copies.Store(true)
		hit := s.hit(2, CutOff(true), s.long[:2]...)
		s.stream(14 * time.Second)
		for _, m := range hit { // with a new session
			s.Set(m, CutOff(false))
		}
		s.callOff(4)
		s.next(3 * time.Second)
		s.stream(20 * time.Second)
		s.count("copies", int(s.Copies.Load()))
	}, "copies"},
	{"commands and answers held up, machines go on", func(s *scene) {
		s.LateCommands = func(string, protocol.DirectCommands) time.Duration {
			if !s.h.commands.Load() || s.Rand.IntN(3) > 0 {
				return 0
			}
			s.count("commands", 1)
			return s.upTo(time.Second, 14*time.Second)
		}
	}, func(s *scene) {
		s.h.commands.Store(true)
		s.h.answers.Store(true)
		for i := range 3 {
			hit := s.hit(2, Hang(true), s.long...)
			s.callOff(2)
			s.stream(7 * time.Second)
			for _, m := range hit {
				s.Set(m, Hang(false))
			}
			if i == 1 {
				s.next(3 * time.Second)
			}
			s.stream(5 * time.Second)
		}
		time.Sleep(10 * time.Second)
	}, "commands"},
	{"tasks that end far apart, over changes of the leader", nil, func(s *scene) {
		for i := range 6 {
			s.far = append(s.far, s.User(Want{Team: s.Cfg.Deployment.Teams[i%4].Name, Tasks: 3, Cpus: 1,
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
		s.leads(func() {
			for i := range 3 {
				time.Sleep(12 * time.Second)
				s.count(fmt.Sprint("ended before lead ", i+2), ends())
				s.next(4 * time.Second)
			}
			time.Sleep(10 * time.Second)
		})
		s.count("ran again", s.RanAgain)
	}, "leads, ended before lead 2, ended before lead 4, !ran again"},
	{"odd requests", nil, func(s *scene) {
		s.stream(10 * time.Second)
		s.callOff(3)
		time.Sleep(4 * time.Second)
		for _, j := range append(slices.Clone(s.far[:12]), append(s.doomed, s.long...)...) {
			s.count("answers", s.OddRequests(j))
			if s.Told(j) == protocol.Done {
				s.CallOff(j) // done already: that stays
				s.count("done called off", 1)
			}
		}
	}, "answers, done called off"},
	{"users call off many jobs at once, their machines hang", nil, func(s *scene) {
		s.callOff(8)
		s.count("machines", len(s.hit(8, Hang(true), s.doomed...)))
		time.Sleep(45 * time.Second) // longer than cancel_s
	}, "machines"},
}

// everyThird tells whether a transaction is the first, the fourth, the seventh and so on of its kind.
func (s *scene) everyThird(what string, t protocol.Txn) bool {
	kind, _, _ := strings.Cut(strings.TrimPrefix(t.Then[0].Put+t.Then[0].Delete, storage.Root), "/")
	s.count(what+kind, 1)
	s.counting.Lock()
	defer s.counting.Unlock()
	return s.counts[what+kind]%3 == 1
}

// lostKinds counts the kinds of records whose writers lost an answer.
func (s *scene) lostKinds(kinds ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range kinds {
		s.count("lost "+k, s.AnswersLost[k])
	}
}

// slowReports has workers report as seldom as those of the largest deployments.
func (s *scene) slowReports() {
	s.Cfg.Deployment.Workers = config.Workers{HeartbeatS: 5, LeaseS: 26.5, GangWaitS: 30, GangPeerS: 4, CancelS: 46.5}
}

// limit gives every team a limit that its jobs reach, and checks that they have.
func (s *scene) limit() {
	for i := range s.Cfg.Deployment.Teams {
		s.Cfg.Deployment.Teams[i].CpusMax = 24
	}
	go func() {
		time.Sleep(15 * time.Second)
		used := map[string]float64{}
		s.mu.Lock()
		for _, j := range s.jobs {
			used[j.Team] += float64(len(j.on)) * j.Cpus
		}
		s.mu.Unlock()
		for _, t := range s.Cfg.Deployment.Teams {
			if used[t.Name] == t.CpusMax {
				s.count("at the limit", 1)
			}
		}
	}()
}

// watchHands counts cancellations that are committed while a job's share is without its owner, or within two
// seconds of its next one.
func (s *scene) watchHands() {
	at := map[int]time.Time{}
	records := s.Store.Check
	s.Store.Check = func(t protocol.Txn) {
		records(t)
		for _, c := range t.Then {
			var share int
			if n, _ := fmt.Sscanf(c.Put, storage.Root+"share/%d", &share); n == 1 {
				at[share] = time.Now()
			}
			if id, ok := storage.JobIDOf(c.Put); ok && strings.Contains(string(c.Value), `"f":"cancelled"`) {
				s.mu.Lock()
				j := s.jobs[id]
				s.mu.Unlock()
				i := slices.IndexFunc(s.Cfg.Deployment.Teams, func(x config.Team) bool { return x.Name == j.Team })
				dead := slices.ContainsFunc(s.nodes, func(n *Node) bool { return n.dead() })
				if share := i % 3; dead || time.Since(at[share]) < 2*time.Second {
					s.count("cancelled between owners", 1)
				}
			}
		}
	}
}

// TestScenes plays the meetings of the users' list one by one, and checks that each came about, every rule, and that
// once all is over every job is answered and nothing waits beside room.
func TestScenes(t *testing.T) {
	for i, x := range scenes {
		t.Run(x.name, func(t *testing.T) { playScene(t, 9000+uint64(i), x.setup, x.play, x.must) })
	}
}

func playScene(t *testing.T, seed uint64, setup, play func(*scene), must string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(time.Minute) }()
		cfg := settings()
		cfg.Deployment.Teams[0].CpusMax = 0
		cfg.Deployment.Workers.CancelS = 36
		w := NewWorld(ctx, cfg, seed)
		w.Cap = 14
		if os.Getenv("SCENE_LOG") != "" {
			w.Log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
		}
		s := &scene{World: w, h: &hooks{}, counts: map[string]int{}}
		musts := strings.Split(must, ", ")
		s.h.install(w)
		if setup != nil {
			setup(s)
		}
		for i := range 3 {
			w.Start(i)
		}
		w.Talk()
		for i := range 9 {
			w.AddMachine(cfg.Deployment.Zones[i%3], false)
		}
		time.Sleep(3 * time.Second)
		s.more(16, Want{})
		for k := range 3 {
			s.far = append(s.far, w.User(Want{Team: cfg.Deployment.Teams[k].Name, Tasks: 2 + k%2, Cpus: 1, Runs: []time.Duration{2 * time.Second, 50 * time.Second, 25 * time.Second}}))
		}
		time.Sleep(12 * time.Second)
		play(s)
		healAll(w, s.h)
		w.watchBeside(t, 95*time.Second)
		for _, j := range w.Unanswered(time.Now().Add(-75 * time.Second)) {
			t.Errorf("%s has had no answer for 75 s after all is over", j.ID)
		}
		if s.told() == 0 && len(s.doomed) > 0 {
			t.Error("no user was told of a cancellation: nothing is proved")
		}
		s.callOff(len(s.long))
		w.awaitAll(t, append(s.far, s.doomed...), 120)
		time.Sleep(seconds(cfg.Deployment.Workers.CancelS + 2)) // cancelled tasks must be gone by now
		for _, b := range w.Broken() {
			t.Error(b)
		}
		for _, k := range musts {
			if what, no := strings.CutPrefix(k, "!"); k != "" && (s.counts[what] > 0) == no {
				t.Errorf("%q came about %d times", what, s.counts[what])
			}
		}
		for k, n := range s.counts {
			t.Logf("%s: %d", k, n)
		}
		t.Logf("%d nodes ended, lead taken %d times, %d cancellations, %d starts after one, %d tasks killed by leases",
			w.Kills.Load(), w.Leads.Load(), s.told(), w.StartsAfterCancel, w.LeaseKills)
	})
}

// watchBeside watches for a time after all troubles: nobody may wait beside room for 90 s of it.
func (w *World) watchBeside(t *testing.T, d time.Duration) {
	t.Helper()
	since := map[*Job]time.Time{}
	for end := time.Now().Add(d); time.Now().Before(end); {
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
