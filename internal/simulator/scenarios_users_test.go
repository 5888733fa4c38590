package simulator

import (
	"slices"
	"time"

	"dykeledge/internal/protocol"
)

// userScenarios are the scenarios about users' requests and the answers to them.
var userScenarios = []scenarioCase{
	{"queries at all controllers at once, and cancellations", 9000, func(s *scenario) { s.QueryAllAfterAnswers = true }, func(s *scenario) {
		go func() { time.Sleep(8 * time.Second); s.restartLeader(3 * time.Second) }()
		s.submitStream(25 * time.Second)
		s.cancelLongJobs(4)
		time.Sleep(5 * time.Second)
		s.count("checked answers", int(s.QueryAllAnswers.Load()))
	}, "checked answers"},
	{"queries at all controllers at once, lost answers of the state service", 9001, func(s *scenario) {
		s.QueryAllAfterAnswers = true
		s.LostAnswers = func(string, protocol.Txn) bool { return s.hooks.loseAnswers.Load() && s.Random.IntN(3) == 0 }
	}, func(s *scenario) {
		s.hooks.loseAnswers.Store(true)
		s.submitStream(25 * time.Second)
		s.cancelLongJobs(4)
		time.Sleep(5 * time.Second)
		s.count("checked answers", int(s.QueryAllAnswers.Load()))
		s.countTransactions("lost ", s.AnswersLost, "job", "rack")
	}, "lost job, lost rack"},
	{"single-task jobs for two minutes, a quarter of them cancelled", 9002, nil, func(s *scenario) {
		go func() { time.Sleep(40 * time.Second); s.restartLeader(3 * time.Second) }()
		s.submitStream(120 * time.Second)
		s.count("jobs", len(s.awaitedJobs))
	}, "jobs"},
	{"cancelled, queried and submitted again as the last task completes", 9014, func(s *scenario) {
		s.QueryAllAfterAnswers = true
		s.OnJobDone = func(j *Job) {
			if s.Random.IntN(2) == 0 {
				s.count("cancelled at the end", 1)
				s.CancelNow(j)
			}
			s.QueryAllControllers(j)
		}
	}, func(s *scenario) {
		s.hooks.slowStore.Store(true) // the completion may be committed between a query and the cancellation
		for i := range 40 {
			s.awaitedJobs = append(s.awaitedJobs, s.StartUser(JobSpec{Team: s.Settings.Deployment.Teams[i%4].Name, Tasks: 1 + i%3, Cpus: 1, RunTime: s.randomDuration(time.Second, 3*time.Second)}))
			time.Sleep(300 * time.Millisecond)
		}
	}, "cancelled at the end"},
	{"more demand than capacity, jobs of all urgencies, a slow state service", 9020, func(s *scenario) { s.Capacity = 9 }, func(s *scenario) {
		s.hooks.slowStore.Store(true)
		for i := range 24 {
			urgency := []string{"low", "normal", "high", "production"}[i%4]
			s.awaitedJobs = append(s.awaitedJobs, s.StartUser(JobSpec{Team: s.Settings.Deployment.Teams[i%4].Name, Tasks: 5, Cpus: 4, RunTime: 12 * time.Second, Urgency: urgency}))
		}
		time.Sleep(20 * time.Second)
		s.count("waiting", 2*len(s.longJobs)+5*24-s.RunningTasks())
		s.cancelLongJobs(4)
		time.Sleep(10 * time.Second)
	}, "waiting"},
	{"conflicting and invalid submissions", 9026, nil, func(s *scenario) {
		s.submitStream(10 * time.Second)
		s.cancelLongJobs(3)
		time.Sleep(4 * time.Second)
		for _, j := range append(slices.Clone(s.awaitedJobs[:12]), append(s.cancelled, s.longJobs...)...) {
			s.count("answers", s.OddRequests(j))
			if s.ReportedStatus(j) == protocol.Done {
				s.CancelNow(j) // the job must stay done
				s.count("done cancelled", 1)
			}
		}
	}, "answers, done cancelled"},
}
