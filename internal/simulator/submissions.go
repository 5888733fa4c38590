package simulator

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"dykeledge/internal/protocol"
)

// submissions are the jobs of a simulation, and what their users were told.
type submissions struct {
	jobs        map[string]*Job
	order       []string // the jobs' IDs as they were submitted
	oddRequests int      // odd requests made
	// CloseLooks has users ask at all controllers at once as soon as they were told something.
	CloseLooks bool
}

func newSubmissions() submissions {
	return submissions{jobs: map[string]*Job{}}
}

// add takes a job that is submitted.
func (s *submissions) add(job *Job) {
	s.jobs[job.ID] = job
	s.order = append(s.order, job.ID)
}

// nextUnusedID is the ID of a job that nobody submits.
func (s *submissions) nextUnusedID() string {
	s.oddRequests++
	return fmt.Sprintf("job-99%05d", s.oddRequests)
}

// lastAnswer is what a job's users had been told when one of them asked: no answer may be older than that.
type lastAnswer struct {
	status   protocol.JobStatus
	accepted bool
}

// noteAnswer takes an answer about a job.
func (j *Job) noteAnswer(status protocol.JobStatus) {
	j.lastAnswered = time.Now()
	j.accepted = true
	if !j.reportedStatus.Final() {
		j.reportedStatus = status
	}
}

// lastAnswerOf is what a job's users have been told so far.
func (sim *Simulation) lastAnswerOf(j *Job) lastAnswer {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return lastAnswer{j.reportedStatus, j.accepted}
}

// Told is what the job's user was last told.
func (sim *Simulation) Told(j *Job) protocol.JobStatus {
	return sim.lastAnswerOf(j).status
}

// SetCloseLooks has users look closely from now on, or no more.
func (sim *Simulation) SetCloseLooks(on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.CloseLooks = on
}

// Unanswered lists the accepted jobs whose users have had no answer since a time, as forgotten ones are.
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

// On is how many of a job's tasks are on machines.
func (sim *Simulation) On(j *Job) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return len(j.on)
}

// machinesOf lists the machines that a job's tasks are on.
func (sim *Simulation) machinesOf(j *Job) (machines []*Machine) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, m := range j.on {
		if !slices.Contains(machines, m) {
			machines = append(machines, m)
		}
	}
	return machines
}

// ServedJobs is a class of a team: how many of its jobs were accepted and not cancelled, and how many of them are done.
type ServedJobs struct {
	Team, Class string
	Due, Done   int
	InTime      int // done within the time that was asked about
}

// Part is the part that is done; 1 where there is nothing to do.
func (s ServedJobs) Part() float64 {
	if s.Due == 0 {
		return 1
	}
	return float64(s.Done) / float64(s.Due)
}

// String tells the counts in words.
func (s ServedJobs) String() string {
	return fmt.Sprintf("%s of %s: %d of %d done, %d in time", s.Class, s.Team, s.Done, s.Due, s.InTime)
}

// Served tells by class and team what became of the jobs that were first submitted more than
// a time ago.
func (sim *Simulation) Served(within time.Duration) []ServedJobs {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var served []ServedJobs
	for _, id := range sim.order {
		job := sim.jobs[id]
		if !job.accepted || job.cancelRequested || time.Since(job.At) < within {
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
	s.Due++
	if len(job.done) < job.Tasks {
		return
	}
	s.Done++
	if job.lastDone.Sub(job.At) <= within {
		s.InTime++
	}
}

// Beside lists the jobs that wait although a machine that fits has capacity and their team is under its limit.
func (sim *Simulation) Beside() []*Job {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	usedCPUs := map[string]float64{}
	for _, j := range sim.jobs {
		usedCPUs[j.Team] += float64(len(j.on)) * j.Cpus
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

// hasCapacityFor tells whether a machine has capacity for a task of a job, wherever its other tasks are.
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
