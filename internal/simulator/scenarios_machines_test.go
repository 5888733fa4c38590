package simulator

import (
	"time"

	"dykeledge/internal/protocol"
)

// machineScenarios are about machines that hang, are lost or lose messages.
var machineScenarios = []scenarioCase{
	{"the leader ends while machines can't be reached or are deaf", 9004, nil, func(s *scenario) {
		n := len(s.hit(2, CutOff(true), s.long[:2]...)) + len(s.hit(2, DeafMachine(true), s.long[2:4]...))
		s.count("machines", n)
		s.cancelJob(4)
		s.isLeader(func() { s.next(8 * time.Second); time.Sleep(50 * time.Second) })
	}, "machines, leads"},
	{"teams at their limit, cancelled on machines that hang, new leaders", 9005, func(s *scenario) { s.limit(); s.slowHeartbeats() }, func(s *scenario) {
		s.cancelJob(6)
		hit := s.hit(6, HangingMachine(true), s.cancelled...)
		s.count("machines", len(hit))
		s.isLeader(func() {
			for range 4 {
				time.Sleep(2 * time.Second)
				s.next(4 * time.Second)
				time.Sleep(7 * time.Second)
			}
		})
	}, "machines, leads, at the limit"},
	{"teams at their limit, cancelled on partitioned machines, a new leader", 9006, func(s *scenario) { s.limit() }, func(s *scenario) {
		hit := s.hit(4, CutOff(true), s.long[:4]...)
		s.count("machines", len(hit))
		s.isLeader(func() { s.next(5 * time.Second); time.Sleep(time.Second); s.cancelJob(4); time.Sleep(30 * time.Second) })
	}, "machines, leads, at the limit"},
	{"cancelled on machines that hang, while owners change", 9007, func(s *scenario) { s.slowHeartbeats() }, func(s *scenario) {
		s.cancelJob(6)
		s.count("machines", len(s.hit(4, HangingMachine(true), s.cancelled...)))
		for i := range 14 { // no owner is left for as long as it takes to call a machine silent
			time.Sleep(2500 * time.Millisecond)
			s.Again(time.Second, i%3)
		}
	}, "machines"},
	{"cancelled on machines that hang, at a state service that flaps", 9008, nil, func(s *scenario) {
		s.cancelJob(6)
		s.count("machines", len(s.hit(4, HangingMachine(true), s.cancelled...)))
		for range 9 {
			s.Store.SetDown(true)
			time.Sleep(3300 * time.Millisecond)
			s.Store.SetDown(false)
			time.Sleep(800 * time.Millisecond)
		}
	}, "machines"},
	{"cancelled on deaf machines, four in ten and more", 9009, func(s *scenario) { s.slowHeartbeats() }, func(s *scenario) {
		s.count("machines", len(s.hit(7, DeafMachine(true), s.long...)))
		s.cancelJob(6)
		time.Sleep(45 * time.Second)
	}, "machines"},
	{"arrays bound to one zone lose machines", 9013, func(s *scenario) { s.CapacityOf = 12 }, func(s *scenario) {
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
	{"mute machines", 9017, nil, func(s *scenario) {
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
	{"deaf machines and a job that waits", 9018, nil, func(s *scenario) {
		s.count("machines", len(s.hit(3, DeafMachine(true), s.long...)))
		late := s.User(JobSpec{Team: "red", Tasks: 6, Cpus: 4, Run: 10 * time.Second})
		s.far = append(s.far, late)
		time.Sleep(60 * time.Second)
		if s.Told(late) != protocol.Done {
			s.count("not done", 1)
		}
	}, "machines, !not done"},
	{"machines up within two seconds, writes lag, the leader ends", 9019, func(s *scenario) {
		s.Boot = func() time.Duration { return s.randomDuration(300*time.Millisecond, 2*time.Second) }
		s.CapacityOf = 18
		s.Late = func(string, protocol.Txn) time.Duration {
			if !s.hooks.late.Load() || s.Random.IntN(3) > 0 {
				return 0
			}
			return s.randomDuration(2*time.Second, 12*time.Second)
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
	{"users cancel many jobs at once, their machines hang", 9027, nil, func(s *scenario) {
		s.cancelJob(8)
		s.count("machines", len(s.hit(8, HangingMachine(true), s.cancelled...)))
		time.Sleep(45 * time.Second) // longer than cancel_s
	}, "machines"},
}
