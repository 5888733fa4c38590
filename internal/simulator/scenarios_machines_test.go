package simulator

import (
	"time"

	"dykeledge/internal/protocol"
)

// machineScenarios are the scenarios in which machines hang, are lost or lose messages.
var machineScenarios = []scenarioCase{
	{"the leader restarts while machines are partitioned or receive nothing", 9004, nil, func(s *scenario) {
		machines := len(s.changeMachinesOf(2, MachinePartition(true), s.longJobs[:2]...)) + len(s.changeMachinesOf(2, InboundPartition(true), s.longJobs[2:4]...))
		s.count("machines", machines)
		s.cancelLongJobs(4)
		s.countLeaderChanges(func() { s.restartLeader(8 * time.Second); time.Sleep(50 * time.Second) })
	}, "machines, leadership taken"},
	{"teams at their limit, cancellations on hanging machines, new leaders", 9005, func(s *scenario) { s.limitTeams(); s.slowHeartbeats() }, func(s *scenario) {
		s.cancelLongJobs(6)
		changed := s.changeMachinesOf(6, HangingMachine(true), s.cancelled...)
		s.count("machines", len(changed))
		s.countLeaderChanges(func() {
			for range 4 {
				time.Sleep(2 * time.Second)
				s.restartLeader(4 * time.Second)
				time.Sleep(7 * time.Second)
			}
		})
	}, "machines, leadership taken, at the limit"},
	{"teams at their limit, cancellations on partitioned machines, a new leader", 9006, func(s *scenario) { s.limitTeams() }, func(s *scenario) {
		changed := s.changeMachinesOf(4, MachinePartition(true), s.longJobs[:4]...)
		s.count("machines", len(changed))
		s.countLeaderChanges(func() {
			s.restartLeader(5 * time.Second)
			time.Sleep(time.Second)
			s.cancelLongJobs(4)
			time.Sleep(30 * time.Second)
		})
	}, "machines, leadership taken, at the limit"},
	{"cancellations on hanging machines while shards change owner", 9007, func(s *scenario) { s.slowHeartbeats() }, func(s *scenario) {
		s.cancelLongJobs(6)
		s.count("machines", len(s.changeMachinesOf(4, HangingMachine(true), s.cancelled...)))
		for i := range 14 { // no owner keeps a shard for long enough to return a silent machine
			time.Sleep(2500 * time.Millisecond)
			s.Restart(time.Second, i%3)
		}
	}, "machines"},
	{"cancellations on hanging machines during repeated outages of the state service", 9008, nil, func(s *scenario) {
		s.cancelLongJobs(6)
		s.count("machines", len(s.changeMachinesOf(4, HangingMachine(true), s.cancelled...)))
		for range 9 {
			s.Store.SetDown(true)
			time.Sleep(3300 * time.Millisecond)
			s.Store.SetDown(false)
			time.Sleep(800 * time.Millisecond)
		}
	}, "machines"},
	{"cancellations on machines that receive nothing, up to seven of nine", 9009, func(s *scenario) { s.slowHeartbeats() }, func(s *scenario) {
		s.count("machines", len(s.changeMachinesOf(7, InboundPartition(true), s.longJobs...)))
		s.cancelLongJobs(6)
		time.Sleep(45 * time.Second)
	}, "machines"},
	{"arrays bound to one zone lose machines", 9013, func(s *scenario) { s.Capacity = 12 }, func(s *scenario) {
		for i := range 4 {
			s.awaitedJobs = append(s.awaitedJobs, s.StartUser(JobSpec{Team: s.Settings.Deployment.Teams[i].Name, Tasks: 6, Cpus: 4, RunTime: 20 * time.Second, Zone: "b"}))
		}
		time.Sleep(8 * time.Second)
		for _, m := range s.changeMachinesOf(2, PreemptionNotice(time.Second), s.awaitedJobs...) {
			s.FailMachine(m)
			s.count("machines", 1)
		}
		s.restartLeader(3 * time.Second)
		time.Sleep(20 * time.Second)
	}, "machines"},
	{"machines that reach no controller", 9017, nil, func(s *scenario) {
		changed := s.changeMachinesOf(3, OutboundPartition(true), s.longJobs...)
		s.count("machines", len(changed))
		// Their tasks must not be started again and again where no lease can be renewed.
		time.Sleep(16 * time.Second) // their leases have expired by now
		statsBefore := s.Stats()
		waitingJob := s.StartUser(JobSpec{Team: "red", Tasks: 6, Cpus: 4, RunTime: 25 * time.Second})
		s.awaitedJobs = append(s.awaitedJobs, waitingJob)
		s.cancelLongJobs(3)
		time.Sleep(60 * time.Second)
		if killed := s.Stats().LeaseKills - statsBefore.LeaseKills; killed > 0 {
			s.count("killed again", killed)
		}
		if s.ReportedStatus(waitingJob) != protocol.Done {
			s.count("not done", 1)
		}
	}, "machines, !killed again, !not done"},
	{"machines that receive nothing, and a waiting job", 9018, nil, func(s *scenario) {
		s.count("machines", len(s.changeMachinesOf(3, InboundPartition(true), s.longJobs...)))
		waitingJob := s.StartUser(JobSpec{Team: "red", Tasks: 6, Cpus: 4, RunTime: 10 * time.Second})
		s.awaitedJobs = append(s.awaitedJobs, waitingJob)
		time.Sleep(60 * time.Second)
		if s.ReportedStatus(waitingJob) != protocol.Done {
			s.count("not done", 1)
		}
	}, "machines, !not done"},
	{"machines boot within two seconds, transactions are late, the leader restarts", 9019, func(s *scenario) {
		s.BootTimeOf = func() time.Duration { return s.randomDuration(300*time.Millisecond, 2*time.Second) }
		s.Capacity = 18
		s.LateTransactions = func(string, protocol.Txn) time.Duration {
			if !s.hooks.delayTransactions.Load() || s.Random.IntN(3) > 0 {
				return 0
			}
			return s.randomDuration(2*time.Second, 12*time.Second)
		}
	}, func(s *scenario) {
		machinesBefore := len(s.Machines())
		s.hooks.delayTransactions.Store(true)
		s.submitLongJobs(16, JobSpec{})
		time.Sleep(5 * time.Second)
		s.restartLeader(4 * time.Second)
		s.cancelLongJobs(4)
		time.Sleep(25 * time.Second)
		s.count("late", int(s.LateTxnsApplied.Load()+s.LateTxnsRejected.Load()))
		s.count("machines", len(s.Machines())-machinesBefore)
	}, "late, machines"},
	{"many cancellations at once, the machines hang", 9027, nil, func(s *scenario) {
		s.cancelLongJobs(8)
		s.count("machines", len(s.changeMachinesOf(8, HangingMachine(true), s.cancelled...)))
		time.Sleep(45 * time.Second) // longer than cancel_s
	}, "machines"},
}
