package simulator

import (
	"fmt"
	"time"
)

// controllerScenarios are about controllers that end, change or lose the lead.
var controllerScenarios = []scenarioCase{
	{"cancelled while work changes hands", 9003, func(s *scenario) { s.countCancellationsBetweenOwners() }, func(s *scenario) {
		for i := range 3 {
			owner := max(0, s.Owner(i))
			s.Kill(owner)
			for range 4 { // from the end to after the takeover
				time.Sleep(s.randomDuration(400*time.Millisecond, 1100*time.Millisecond))
				s.cancelLongJobs(1)
			}
			s.Start(owner)
			time.Sleep(6 * time.Second)
		}
	}, "cancelled between owners"},
	{"all controllers away for longer than a lease, cancelled just before", 9010, nil, func(s *scenario) {
		s.cancelLongJobs(4)
		for range 100 {
			if time.Sleep(50 * time.Millisecond); s.confirmedCancellations() == 4 {
				break
			}
		}
		s.count("machines", len(s.changeMachinesOf(2, HangingMachine(true), s.cancelled...)))
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
	{"a leader without state and peers, cancelled through the new one", 9012, func(s *scenario) { s.CloseLooks = true }, func(s *scenario) {
		isolatedLeader := leaderOrFirst(s.Simulation)
		s.countLeaderChanges(func() {
			s.Controller(isolatedLeader).Cut(NoState | NoPeers)
			time.Sleep(5 * time.Second)
			for _, j := range s.longJobs[:4] {
				if s.CancelAt(j, (isolatedLeader+1)%3) {
					s.count("by the new one", 1)
				}
			}
			s.cancelLongJobs(4)
			time.Sleep(40 * time.Second)
		})
	}, "leads, by the new one"},
	{"ten leaders in two minutes, in an outage too", 9015, nil, func(s *scenario) {
		s.countLeaderChanges(func() {
			for i := range 11 {
				s.restartLeader(3 * time.Second)
				s.cancelLongJobs(i % 2)
				if i == 5 {
					s.Store.SetDown(true)
					time.Sleep(4 * time.Second)
					s.Store.SetDown(false)
				}
				time.Sleep(10 * time.Second)
			}
		})
	}, "leads"},
	{"tasks that end far apart, over changes of the leader", 9025, nil, func(s *scenario) {
		for i := range 6 {
			s.awaitedJobs = append(s.awaitedJobs, s.User(JobSpec{Team: s.Settings.Deployment.Teams[i%4].Name, Tasks: 3, Cpus: 1,
				Runs: []time.Duration{2 * time.Second, 22 * time.Second, 44 * time.Second}}))
		}
		completedTasks := func() (n int) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, j := range s.awaitedJobs {
				n += len(j.done)
			}
			return n
		}
		s.countLeaderChanges(func() {
			for i := range 3 {
				time.Sleep(12 * time.Second)
				s.count(fmt.Sprint("ended before lead ", i+2), completedTasks())
				s.restartLeader(4 * time.Second)
			}
			time.Sleep(10 * time.Second)
		})
		s.count("ran again", s.RanAgain)
	}, "leads, ended before lead 2, ended before lead 4, !ran again"},
}
