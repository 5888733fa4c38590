package simulator

import (
	"time"

	"dykeledge/internal/protocol"
)

// messageScenarios are the scenarios with delayed, duplicated or lost messages, and one with a partitioned
// zone.
var messageScenarios = []scenarioCase{
	{"a zone is partitioned with its controller, cancellations meanwhile", 9011, nil, func(s *scenario) {
		zone := s.Controller(max(0, s.ShardOwner(0))).Zone
		s.PartitionZone(zone)
		time.Sleep(time.Second)
		s.preferJobsIn(zone)
		s.cancelLongJobs(6)
		for _, j := range s.cancelled {
			for _, m := range s.machinesOf(j) {
				if m.Zone == zone {
					s.count("tasks in the zone", 1)
				}
			}
		}
		time.Sleep(45 * time.Second) // longer than cancel_s
	}, "tasks in the zone"},
	{"duplicate heartbeats at every controller as leadership changes", 9016, func(s *scenario) {
		s.HoldHeartbeat = func(string) bool { return s.hooks.keepHeartbeats.Load() && s.Random.IntN(2) == 0 }
	}, func(s *scenario) {
		s.countLeaderChanges(func() {
			for range 4 {
				s.hooks.keepHeartbeats.Store(true)
				time.Sleep(3 * time.Second)
				s.hooks.keepHeartbeats.Store(false)
				s.cancelLongJobs(1)
				first := len(s.longJobs)
				s.submitLongJobs(4, JobSpec{Cpus: 1}) // the kept heartbeats don't contain their tasks
				time.Sleep(s.randomDuration(4*time.Second, 8*time.Second))
				changed := s.changeMachinesOf(9, HangingMachine(true), s.longJobs[first:]...) // so that the kept heartbeats are the first that the new owners receive
				leadersBefore := s.LeaderChanges.Load()
				s.restartLeader(6 * time.Second)
				for range 60 {
					if time.Sleep(100 * time.Millisecond); s.LeaderChanges.Load() > leadersBefore {
						break
					}
				}
				time.Sleep(700 * time.Millisecond)
				for _, m := range changed {
					s.UpdateMachine(m, HangingMachine(false))
				}
				time.Sleep(4 * time.Second)
			}
		})
		s.count("duplicates", int(s.DuplicatesToNewLeader.Load()))
	}, "leadership taken, duplicates"},
	{"transactions with every kind of record are applied late", 9021, func(s *scenario) {
		s.LateTransactions = func(_ string, t protocol.Txn) time.Duration {
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
	{"lost answers to transactions with every kind of record", 9022, func(s *scenario) {
		s.LostAnswers = func(_ string, t protocol.Txn) bool { return s.hooks.loseAnswers.Load() && s.isEveryThird("sent ", t) }
		s.QueryAllAfterAnswers = true
	}, func(s *scenario) {
		s.hooks.loseAnswers.Store(true)
		for range 5 {
			s.cancelLongJobs(1)
			s.restartLeader(2 * time.Second)
			s.submitStream(8 * time.Second)
		}
		s.countTransactions("lost ", s.AnswersLost, "job", "rack", "share", "leader", "node")
	}, "lost job, lost rack, lost share, lost leader, lost node"},
	{"duplicate heartbeats after newer ones, also of earlier incarnations", 9023, nil, func(s *scenario) {
		s.hooks.duplicateHeartbeats.Store(true)
		changed := s.changeMachinesOf(2, MachinePartition(true), s.longJobs[:2]...)
		s.submitStream(14 * time.Second)
		for _, m := range changed { // as a new incarnation
			s.UpdateMachine(m, MachinePartition(false))
		}
		s.cancelLongJobs(4)
		s.restartLeader(3 * time.Second)
		s.submitStream(20 * time.Second)
		s.count("duplicates", int(s.DuplicateHeartbeats.Load()))
	}, "duplicates"},
	{"delayed commands and answers, hanging machines resume", 9024, func(s *scenario) {
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
			changed := s.changeMachinesOf(2, HangingMachine(true), s.longJobs...)
			s.cancelLongJobs(2)
			s.submitStream(7 * time.Second)
			for _, m := range changed {
				s.UpdateMachine(m, HangingMachine(false))
			}
			if i == 1 {
				s.restartLeader(3 * time.Second)
			}
			s.submitStream(5 * time.Second)
		}
		time.Sleep(10 * time.Second)
	}, "commands"},
}
