package simulator

import (
	"time"

	"dykeledge/internal/protocol"
)

// messageScenarios are about messages that are late, repeated or lost, and about a partition.
var messageScenarios = []scenarioCase{
	{"a zone with its controller partitioned, cancelled meanwhile", 9011, nil, func(s *scenario) {
		zone := s.Controller(max(0, s.Owner(0))).Zone
		s.PartitionZone(zone)
		time.Sleep(time.Second)
		s.preferJobsIn(zone)
		s.cancelLongJobs(6)
		for _, j := range s.cancelled {
			for _, m := range s.machinesOf(j) {
				if m.Zone == zone {
					s.count("tasks there", 1)
				}
			}
		}
		time.Sleep(45 * time.Second) // longer than cancel_s
	}, "tasks there"},
	{"old heartbeats at every controller as a leader begins", 9016, func(s *scenario) {
		s.KeptHeartbeats = func(string) bool { return s.hooks.keepHeartbeats.Load() && s.Random.IntN(2) == 0 }
	}, func(s *scenario) {
		s.countLeaderChanges(func() {
			for range 4 {
				s.hooks.keepHeartbeats.Store(true)
				time.Sleep(3 * time.Second)
				s.hooks.keepHeartbeats.Store(false)
				s.cancelLongJobs(1)
				first := len(s.longJobs)
				s.submitLongJobs(4, JobSpec{Cpus: 1}) // the kept heartbeats know nothing of them
				time.Sleep(s.randomDuration(4*time.Second, 8*time.Second))
				hit := s.changeMachinesOf(9, HangingMachine(true), s.longJobs[first:]...) // and are the first that their new owners hear
				leadersBefore := s.IsLeader.Load()
				s.restartLeader(6 * time.Second)
				for range 60 {
					if time.Sleep(100 * time.Millisecond); s.IsLeader.Load() > leadersBefore {
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
	{"every kind of record late, after newer ones", 9021, func(s *scenario) {
		s.Late = func(_ string, t protocol.Txn) time.Duration {
			if !s.hooks.delayTransactions.Load() || !s.isEveryThird("late ", t) {
				return 0
			}
			return s.randomDuration(2*time.Second, 12*time.Second)
		}
	}, func(s *scenario) {
		s.hooks.delayTransactions.Store(true)
		for range 5 {
			s.cancelLongJobs(1)
			s.restartLeader(2 * time.Second)
			s.submitStream(8 * time.Second)
		}
	}, "late job, late rack, late share, late leader, late node"},
	{"answers lost at once of every kind of record", 9022, func(s *scenario) {
		s.LostAnswers = func(_ string, t protocol.Txn) bool { return s.hooks.loseAnswers.Load() && s.isEveryThird("sent ", t) }
		s.CloseLooks = true
	}, func(s *scenario) {
		s.hooks.loseAnswers.Store(true)
		for range 5 {
			s.cancelLongJobs(1)
			s.restartLeader(2 * time.Second)
			s.submitStream(8 * time.Second)
		}
		s.countLostAnswers("job", "rack", "share", "leader", "node")
	}, "lost job, lost rack, lost share, lost leader, lost node"},
	{"old heartbeats after newer ones, of earlier sessions too", 9023, nil, func(s *scenario) {
		s.hooks.duplicateHeartbeats.Store(true)
		hit := s.changeMachinesOf(2, CutOff(true), s.longJobs[:2]...)
		s.submitStream(14 * time.Second)
		for _, m := range hit { // with a new session
			s.Set(m, CutOff(false))
		}
		s.cancelLongJobs(4)
		s.restartLeader(3 * time.Second)
		s.submitStream(20 * time.Second)
		s.count("copies", int(s.Copies.Load()))
	}, "copies"},
	{"commands and answers delayed, machines go on", 9024, func(s *scenario) {
		s.LateCommands = func(string, protocol.DirectCommands) time.Duration {
			if !s.hooks.delayCommands.Load() || s.Random.IntN(3) > 0 {
				return 0
			}
			s.count("commands", 1)
			return s.randomDuration(time.Second, 14*time.Second)
		}
	}, func(s *scenario) {
		s.hooks.delayCommands.Store(true)
		s.hooks.delayAnswers.Store(true)
		for i := range 3 {
			hit := s.changeMachinesOf(2, HangingMachine(true), s.longJobs...)
			s.cancelLongJobs(2)
			s.submitStream(7 * time.Second)
			for _, m := range hit {
				s.Set(m, HangingMachine(false))
			}
			if i == 1 {
				s.restartLeader(3 * time.Second)
			}
			s.submitStream(5 * time.Second)
		}
		time.Sleep(10 * time.Second)
	}, "commands"},
}
