package simulator

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"dykeledge/internal/protocol"
)

// submissions holds the jobs of a simulation, in the order of their submission.
type submissions struct {
	jobs        map[string]*Job
	order       []string // IDs of the jobs in the order of their submission
	oddRequests int      // odd requests so far; numbers their unused job IDs
	// QueryAllAfterAnswers makes users call QueryAllControllers when a submission is accepted and when a job's state becomes final.
	QueryAllAfterAnswers bool
}

func newSubmissions() submissions {
	return submissions{jobs: map[string]*Job{}}
}

// add adds a submitted job.
func (s *submissions) add(job *Job) {
	s.jobs[job.ID] = job
	s.order = append(s.order, job.ID)
}

// nextUnusedID returns an ID that no job ever gets.
func (s *submissions) nextUnusedID() string {
	s.oddRequests++
	return fmt.Sprintf("job-99%05d", s.oddRequests)
}

// lastAnswer is what users had been told about a job when a request was sent. The answer must not be older than
// that.
type lastAnswer struct {
	status   protocol.JobStatus
	accepted bool
}

// noteAnswer records the state in an answer about a job.
func (j *Job) noteAnswer(status protocol.JobStatus) {
	j.lastAnswered = time.Now()
	j.accepted = true
	if !j.reportedStatus.Final() {
		j.reportedStatus = status
	}
}

// lastAnswerOf returns what users have been told about a job so far.
func (sim *Simulation) lastAnswerOf(j *Job) lastAnswer {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return lastAnswer{j.reportedStatus, j.accepted}
}

// ReportedStatus returns the job state that users were last told.
func (sim *Simulation) ReportedStatus(j *Job) protocol.JobStatus {
	return sim.lastAnswerOf(j).status
}

// SetQueryAllAfterAnswers sets QueryAllAfterAnswers.
func (sim *Simulation) SetQueryAllAfterAnswers(on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.QueryAllAfterAnswers = on
}

// Unanswered returns the accepted jobs whose users have had no answer since a time: a controller may have lost
// them.
func (sim *Simulation) Unanswered(since time.Time) []*Job {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var unanswered []*Job
	for _, id := range sim.order {
		if j := sim.jobs[id]; j.accepted && j.lastAnswered.Before(since) {
			unanswered = append(unanswered, j)
		}
	}
	return unanswered
}

// RunningTasksOf returns how many of a job's tasks are on machines.
func (sim *Simulation) RunningTasksOf(j *Job) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return len(j.runningOn)
}

// machinesOf returns the machines that a job's tasks are on.
func (sim *Simulation) machinesOf(j *Job) (machines []*Machine) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, m := range j.runningOn {
		if !slices.Contains(machines, m) {
			machines = append(machines, m)
		}
	}
	return machines
}

// ServedJobs counts the jobs of a class of a team: how many were accepted and not cancelled, and how many of them
// are done.
type ServedJobs struct {
	Team, Class    string
	Accepted, Done int
	InTime         int // done within the time that Served was called with
}

// DoneFraction returns the fraction of the jobs that is done; 1 if there are no jobs.
func (s ServedJobs) DoneFraction() float64 {
	if s.Accepted == 0 {
		return 1
	}
	return float64(s.Done) / float64(s.Accepted)
}

// String returns the counts as text.
func (s ServedJobs) String() string {
	return fmt.Sprintf("%s of %s: %d of %d done, %d in time", s.Class, s.Team, s.Done, s.Accepted, s.InTime)
}

// Served counts, by class and team, the jobs that were first submitted at least a time ago, and those of them that
// are done.
func (sim *Simulation) Served(within time.Duration) []ServedJobs {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var served []ServedJobs
	for _, id := range sim.order {
		job := sim.jobs[id]
		if !job.accepted || job.cancelRequested || time.Since(job.SubmittedAt) < within {
			continue
		}
		class := slices.IndexFunc(served, func(s ServedJobs) bool { return s.Team == job.Team && s.Class == job.Class })
		if class < 0 {
			class = len(served)
			served = append(served, ServedJobs{Team: job.Team, Class: job.Class})
		}
		served[class].count(job, within)
	}
	slices.SortFunc(served, func(a, b ServedJobs) int {
		return cmp.Or(strings.Compare(a.Team, b.Team), strings.Compare(a.Class, b.Class))
	})
	return served
}

// count counts a job of the class.
func (s *ServedJobs) count(job *Job, within time.Duration) {
	s.Accepted++
	if len(job.done) < job.Tasks {
		return
	}
	s.Done++
	if job.lastDone.Sub(job.SubmittedAt) <= within {
		s.InTime++
	}
}

// WaitingDespiteCapacity returns the jobs that wait although a machine has capacity for one of their tasks and their team is within
// its limit.
func (sim *Simulation) WaitingDespiteCapacity() []*Job {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	usedCPUs := map[string]float64{}
	for _, j := range sim.jobs {
		usedCPUs[j.Team] += float64(len(j.runningOn)) * j.Cpus
	}
	limitCPUs := map[string]float64{}
	for _, t := range sim.Settings.Deployment.Teams {
		limitCPUs[t.Name] = t.CpusMax
	}
	var waiting []*Job
	for _, id := range sim.order {
		j := sim.jobs[id]
		underLimit := limitCPUs[j.Team] == 0 || usedCPUs[j.Team]+j.Cpus <= limitCPUs[j.Team]
		if underLimit && j.isWaiting() && sim.hasCapacityFor(j) {
			waiting = append(waiting, j)
		}
	}
	return waiting
}

// hasCapacityFor reports whether a healthy machine has capacity for a task of a job, regardless of where the job's
// other tasks run.
func (sim *Simulation) hasCapacityFor(job *Job) bool {
	for _, machine := range sim.machines {
		if !machine.isRunning() || machine.unhealthy || machine.Spot && !job.Spot {
			continue
		}
		if zone := job.Spec["berth"]; zone != nil && zone != machine.Zone {
			continue
		}
		if machine.remainingWith(job).atLeast(0) {
			return true
		}
	}
	return false
}
