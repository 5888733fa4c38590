package simulator

import (
	"time"

	"dykeledge/internal/protocol"
)

// duplicateScenarios are the scenarios in which direct commands that were executed and answered arrive again.
var duplicateScenarios = []scenarioCase{
	{"duplicate direct commands after tasks have failed and run elsewhere", 9031, duplicateCommandsAfter(time.Second, 10*time.Second), func(s *scenario) {
		s.submitFailingJobs(30)
		time.Sleep(40 * time.Second)
		s.countDuplicateCommands()
	}, "duplicates"},
	{"duplicate direct commands minutes later", 9037, duplicateCommandsAfter(20*time.Second, 150*time.Second), func(s *scenario) {
		s.submitFailingJobs(20)
		time.Sleep(150 * time.Second)
		s.countDuplicateCommands()
	}, "duplicates"},
	{"duplicate direct commands after preemptions", 9032, duplicateCommandsAfter(2*time.Second, 40*time.Second), func(s *scenario) {
		for i := range 6 {
			s.awaitedJobs = append(s.awaitedJobs, s.StartUser(JobSpec{Team: s.Settings.Deployment.Teams[1+i%3].Name, Tasks: 6, Cpus: 6, RunTime: 12 * time.Second, Urgency: "production"}))
			time.Sleep(6 * time.Second)
		}
		s.countDuplicateCommands()
	}, "duplicates"},
	{"duplicate direct commands after cancellations, also later than cancel_s", 9033, duplicateCommandsAfter(2*time.Second, 60*time.Second), func(s *scenario) {
		s.submitStream(20 * time.Second)
		s.cancelLongJobs(6)
		s.submitStream(20 * time.Second)
		time.Sleep(45 * time.Second) // longer than cancel_s
		s.countDuplicateCommands()
	}, "duplicates"},
	{"duplicate direct commands after tasks have left draining machines", 9034, holdCommands, func(s *scenario) {
		s.submitLongJobs(6, JobSpec{CheckpointS: 5})
		time.Sleep(5 * time.Second)
		s.count("machines", len(s.changeMachinesOf(4, PreemptionNotice(20*time.Second), s.longJobs[len(s.longJobs)-6:]...)))
		time.Sleep(18 * time.Second)
		s.Restart(200*time.Millisecond, 2) // the duplicates are delivered, before the cloud takes the machines
		time.Sleep(10 * time.Second)
		s.countDuplicateCommands()
	}, "machines, duplicates"},
	{"duplicate direct commands as controllers return within a second", 9035, holdCommands, func(s *scenario) {
		for i := range 3 {
			s.submitFailingJobs(3)
			s.cancelLongJobs(2)
			time.Sleep(7 * time.Second)
			s.Restart(200*time.Millisecond, []int{leaderOrFirst(s.Simulation), 0, 1, 2}[i:]...)
			time.Sleep(12 * time.Second)
		}
		s.count("held duplicates", int(s.HeldDuplicateCommands.Load()))
		s.countDuplicateCommands()
	}, "held duplicates, duplicates"},
	{"duplicate direct commands while machines hang", 9036, duplicateCommandsAfter(time.Second, 20*time.Second), func(s *scenario) {
		for range 3 {
			s.submitFailingJobs(3)
			changed := s.changeMachinesOf(2, HangingMachine(true), s.longJobs...)
			s.cancelLongJobs(2)
			time.Sleep(3 * time.Second)
			for _, m := range changed {
				s.UpdateMachine(m, HangingMachine(false))
			}
			time.Sleep(9 * time.Second)
		}
		s.countDuplicateCommands()
	}, "duplicates"},
}

// duplicateTxnScenarios are the scenarios in which transactions that were applied and answered arrive again.
var duplicateTxnScenarios = []scenarioCase{
	{"duplicate transactions while machines are provisioned and returned, the leader restarts", 9038, duplicateTransactionsAfter(time.Second, 31*time.Second), func(s *scenario) {
		for range 3 {
			for i := range 4 {
				s.awaitedJobs = append(s.awaitedJobs, s.StartUser(JobSpec{Team: s.Settings.Deployment.Teams[i].Name, Tasks: 8, Cpus: 8, RunTime: 5 * time.Second}))
			}
			s.cancelLongJobs(2)
			time.Sleep(25 * time.Second)
			s.restartLeader(200 * time.Millisecond)
			time.Sleep(20 * time.Second)
		}
		s.countTransactions("again ", s.DuplicateTxns, "node", "job", "rack", "share", "leader", "evict", "set", "usual")
	}, "again node, !again job, !again rack, !again share, !again leader, !again evict, !again set, !again usual"},
}

// duplicateTransactionsAfter returns a setup in which transactions that were applied and answered arrive again after a
// random time.
func duplicateTransactionsAfter(shortest, longest time.Duration) func(*scenario) {
	return func(s *scenario) {
		s.TransactionDuplicateDelay = func(string, protocol.Txn) time.Duration { return s.randomDuration(shortest, longest) }
	}
}

// duplicateCommandsAfter returns a setup in which direct commands that were executed and answered arrive again after a
// random time.
func duplicateCommandsAfter(shortest, longest time.Duration) func(*scenario) {
	return func(s *scenario) {
		s.CommandDuplicateDelay = func(string, protocol.DirectCommands) time.Duration { return s.randomDuration(shortest, longest) }
	}
}

// holdCommands is a setup in which all direct commands that were executed and answered arrive again when a controller
// starts or leadership changes.
func holdCommands(s *scenario) { s.HoldCommands = func(string) bool { return true } }

// countDuplicateCommands counts the duplicates of direct commands that have arrived.
func (s *scenario) countDuplicateCommands() {
	s.count("duplicates", int(s.DuplicateCommands.Load()))
	s.count("duplicates that were executed", int(s.DuplicateCommandsExecuted.Load()))
}

// submitFailingJobs submits n jobs whose tasks each fail once; a third of the jobs are cancelled.
func (s *scenario) submitFailingJobs(n int) {
	for i := range n {
		spec := JobSpec{Team: s.Settings.Deployment.Teams[i%4].Name, Tasks: 2, Cpus: 1, RunTime: s.randomDuration(2*time.Second, 50*time.Second), FailsOnce: true}
		if i%3 == 2 {
			spec.CancelAfter = s.randomDuration(time.Second, 8*time.Second)
		}
		s.awaitedJobs = append(s.awaitedJobs, s.StartUser(spec))
		time.Sleep(s.randomDuration(100*time.Millisecond, 900*time.Millisecond))
	}
}
