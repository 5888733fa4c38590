package simulator

import (
	"slices"
	"time"

	"dykeledge/internal/protocol"
)

// userScenarios are about what users ask and are told.
var userScenarios = []scenarioCase{
	{"close looks, cancelled at once too", 9000, func(s *scenario) { s.CloseLooks = true }, func(s *scenario) {
		go func() { time.Sleep(8 * time.Second); s.restartLeader(3 * time.Second) }()
		s.submitStream(25 * time.Second)
		s.cancelLongJobs(4)
		time.Sleep(5 * time.Second)
		s.count("looks", int(s.Looks.Load()))
	}, "looks"},
	{"close looks while only answers are lost", 9001, func(s *scenario) {
		s.CloseLooks = true
		s.LostAnswers = func(string, protocol.Txn) bool { return s.hooks.loseAnswers.Load() && s.Random.IntN(3) == 0 }
	}, func(s *scenario) {
		s.hooks.loseAnswers.Store(true)
		s.submitStream(25 * time.Second)
		s.cancelLongJobs(4)
		time.Sleep(5 * time.Second)
		s.count("looks", int(s.Looks.Load()))
		s.countLostAnswers("job", "rack")
	}, "lost job, lost rack"},
	{"one-task jobs for two minutes, a quarter cancelled", 9002, nil, func(s *scenario) {
		go func() { time.Sleep(40 * time.Second); s.restartLeader(3 * time.Second) }()
		s.submitStream(120 * time.Second)
		s.count("jobs", len(s.awaitedJobs))
	}, "jobs"},
	{"cancelled, asked and submitted again at the end of the last task", 9014, func(s *scenario) {
		s.CloseLooks = true
		s.AtEnd = func(j *Job) {
			if s.Random.IntN(2) == 0 {
				s.count("at the end", 1)
				s.CancelNow(j)
			}
			s.CloseLook(j)
		}
	}, func(s *scenario) {
		s.hooks.slowStore.Store(true) // the end may be committed between a look and the cancellation
		for i := range 40 {
			s.awaitedJobs = append(s.awaitedJobs, s.User(JobSpec{Team: s.Settings.Deployment.Teams[i%4].Name, Tasks: 1 + i%3, Cpus: 1, Run: s.randomDuration(time.Second, 3*time.Second)}))
			time.Sleep(300 * time.Millisecond)
		}
	}, "at the end"},
	{"more work than room, urgent and not, over slow links", 9020, func(s *scenario) { s.CapacityOf = 9 }, func(s *scenario) {
		s.hooks.slowStore.Store(true)
		for i := range 24 {
			urgency := []string{"low", "normal", "high", "production"}[i%4]
			s.awaitedJobs = append(s.awaitedJobs, s.User(JobSpec{Team: s.Settings.Deployment.Teams[i%4].Name, Tasks: 5, Cpus: 4, Run: 12 * time.Second, Urgency: urgency}))
		}
		time.Sleep(20 * time.Second)
		s.count("waiting", 2*len(s.longJobs)+5*24-s.Running())
		s.cancelLongJobs(4)
		time.Sleep(10 * time.Second)
	}, "waiting"},
	{"odd requests", 9026, nil, func(s *scenario) {
		s.submitStream(10 * time.Second)
		s.cancelLongJobs(3)
		time.Sleep(4 * time.Second)
		for _, j := range append(slices.Clone(s.awaitedJobs[:12]), append(s.cancelled, s.longJobs...)...) {
			s.count("answers", s.OddRequests(j))
			if s.Told(j) == protocol.Done {
				s.CancelNow(j) // done already: that stays
				s.count("done cancelled", 1)
			}
		}
	}, "answers, done cancelled"},
}
