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
		s.cancelJob(6)
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
				time.Sleep(s.randomDuration(4*time.Second, 8*time.Second))
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
	{"every kind of record late, after newer ones", 9021, func(s *scenario) {
		s.Late = func(_ string, t protocol.Txn) time.Duration {
			if !s.hooks.late.Load() || !s.everyThird("late ", t) {
				return 0
			}
			return s.randomDuration(2*time.Second, 12*time.Second)
		}
	}, func(s *scenario) {
		s.hooks.late.Store(true)
		for range 5 {
			s.cancelJob(1)
			s.next(2 * time.Second)
			s.stream(8 * time.Second)
		}
	}, "late job, late rack, late share, late leader, late node"},
	{"answers lost at once of every kind of record", 9022, func(s *scenario) {
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
	{"old heartbeats after newer ones, of earlier sessions too", 9023, nil, func(s *scenario) {
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
	{"commands and answers delayed, machines go on", 9024, func(s *scenario) {
		s.LateCommands = func(string, protocol.DirectCommands) time.Duration {
			if !s.hooks.commands.Load() || s.Random.IntN(3) > 0 {
				return 0
			}
			s.count("commands", 1)
			return s.randomDuration(time.Second, 14*time.Second)
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
}
