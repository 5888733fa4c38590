package simulator

import (
	"fmt"
	"time"
)

// controllerScenarios are the scenarios in which controllers end, restart or lose leadership.
var controllerScenarios = []scenarioCase{
	{"cancellations while shards change owner", 9003, func(s *scenario) { s.countCancellationsBetweenOwners() }, func(s *scenario) {
		for i := range 3 {
			owner := max(0, s.ShardOwner(i))
			s.Kill(owner)
			for range 4 { // from the owner's end until after the takeover
				time.Sleep(s.randomDuration(400*time.Millisecond, 1100*time.Millisecond))
				s.cancelLongJobs(1)
			}
			s.Start(owner)
			time.Sleep(6 * time.Second)
		}
	}, "cancelled between owners"},
	{"all controllers down for longer than a lease, cancellations just before", 9010, nil, func(s *scenario) {
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
	{"the leader loses the state service and its peers, cancellations through another controller", 9012, func(s *scenario) { s.QueryAllAfterAnswers = true }, func(s *scenario) {
		isolatedLeader := leaderOrFirst(s.Simulation)
		s.countLeaderChanges(func() {
			s.Controller(isolatedLeader).SetPartitions(NoState | NoPeers)
			time.Sleep(5 * time.Second)
			for _, j := range s.longJobs[:4] {
				if s.CancelAt(j, (isolatedLeader+1)%3) {
					s.count("confirmed elsewhere", 1)
				}
			}
			s.cancelLongJobs(4)
			time.Sleep(40 * time.Second)
		})
	}, "leadership taken, confirmed elsewhere"},
	{"eleven restarts of the leader in two minutes, and an outage", 9015, nil, func(s *scenario) {
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
	}, "leadership taken"},
	{"tasks that end at different times, over changes of the leader", 9025, nil, func(s *scenario) {
		for i := range 6 {
			s.awaitedJobs = append(s.awaitedJobs, s.StartUser(JobSpec{Team: s.Settings.Deployment.Teams[i%4].Name, Tasks: 3, Cpus: 1,
				TaskRunTimes: []time.Duration{2 * time.Second, 22 * time.Second, 44 * time.Second}}))
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
				s.count(fmt.Sprint("completed before leader ", i+2), completedTasks())
				s.restartLeader(4 * time.Second)
			}
			time.Sleep(10 * time.Second)
		})
		s.count("ran again", s.StartsAfterDone)
	}, "leadership taken, completed before leader 2, completed before leader 4, !ran again"},
}
