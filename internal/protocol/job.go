package protocol

import (
	"strconv"
	"strings"
)

// Limits of requests from users.
const (
	// MaxBodyBytes is the maximum size of a request's body, in bytes.
	MaxBodyBytes = 64 << 10
	// MaxTasks is the maximum number of tasks of a job.
	MaxTasks = 100_000
)

// Shape determines how the tasks of a job relate to one another.
type Shape uint8

// The shapes of a job.
const (
	Batch   Shape = iota // an array of tasks that run independently of one another
	Service              // replicas of one service, which are preempted or evicted together
)

// String returns the shape's name in the JSON.
func (s Shape) String() string { return [...]string{"batch", "daemon"}[s] }

// Priority is the priority of a job. Jobs with a higher priority are placed first.
type Priority uint8

// The priorities, lowest first.
const (
	Low Priority = iota
	Normal
	High
	Production
)

// IsTop reports whether this is a top priority. Top-priority jobs may preempt tasks of all other
// priorities.
func (p Priority) IsTop() bool { return p >= High }

// String returns the priority's name in the JSON.
func (p Priority) String() string {
	return [...]string{"low", "normal", "high", "production"}[p]
}

// ParsePriority returns the priority with a JSON name, and whether there is one.
func ParsePriority(name string) (Priority, bool) {
	for priority := Low; priority <= Production; priority++ {
		if priority.String() == name {
			return priority, true
		}
	}
	return 0, false
}

// parseShape returns the shape with a JSON name, and whether there is one.
func parseShape(name string) (Shape, bool) {
	for shape := Batch; shape <= Service; shape++ {
		if shape.String() == name {
			return shape, true
		}
	}
	return 0, false
}

// Submission is a user's description of a job. ParseSubmission has validated it.
type Submission struct {
	ID              string
	Class           string // the job class, which objectives refer to
	Team            string
	Shape           Shape
	Priority        Priority
	Tasks           int
	Cpus            float64  // CPU cores of each task
	Gpus            float64  // accelerators of each task
	MemGB           float64  // memory of each task, in GB
	Image           string   // the container image
	ImageGB         float64  // size of the image, in GB
	Types           []string // the machine types that may run the job; empty: any
	Zone            string   // the zone that must run the job; empty: any
	OneZone         bool     // all tasks must run in one zone
	Spread          bool     // at most half of the tasks, rounded up, may run in one zone
	Spot            bool     // the job may run on spot machines
	EstimateS       float64  // estimated run time, in seconds
	CheckpointS     float64  // interval between checkpoints, in seconds
	CheckpointCostS float64  // duration of writing a checkpoint, in seconds
	DeadlineS       float64  // time from submission until the job should be done, in seconds; 0: none
	Dependencies    []string // IDs of the jobs that must be done before, without duplicates
}

// JobStatus is the state of a job as users see it.
type JobStatus string

// The states of a job as users see it.
const (
	Queued    JobStatus = "queued"
	Running   JobStatus = "running"
	Done      JobStatus = "done"
	Cancelled JobStatus = "cancelled"
)

// Final reports whether a job in this state never changes its state again.
func (s JobStatus) Final() bool { return s == Done || s == Cancelled }

// JobState is the answer to a submission, a query and a cancellation.
type JobState struct {
	ID                string    `json:"id"`
	Status            JobStatus `json:"status"`
	Done              int       `json:"done"`               // number of tasks that are done
	Running           int       `json:"running"`            // number of tasks that are running
	UnmetDependencies int       `json:"awaiting,omitempty"` // number of dependencies that are not done
}

// ErrorResponse is the body of an answer that rejects a request.
type ErrorResponse struct {
	Error string `json:"error"`
}

// The format of a job ID: a prefix and a number with leading zeros.
const (
	jobPrefix    = "job-"
	minJobDigits = 6
	maxJobDigits = 18
)

// ValidJobID reports whether an ID has the form job-000412.
func ValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, jobPrefix)
	if !ok || len(digits) < minJobDigits || len(digits) > maxJobDigits {
		return false
	}
	for _, c := range []byte(digits) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// TaskName returns a task's name in messages: job-000412/3.
func TaskName(job string, task int) string { return job + "/" + strconv.Itoa(task) }

// ParseTaskName splits a task's name into the job ID and the task's number. It accepts only names that
// TaskName returns for a valid job ID.
func ParseTaskName(name string) (job string, task int, ok bool) {
	slash := strings.LastIndexByte(name, '/')
	if slash < 0 {
		return "", 0, false
	}
	job, number := name[:slash], name[slash+1:]
	if !ValidJobID(job) {
		return "", 0, false
	}
	task, err := strconv.Atoi(number)
	if err != nil || task < 0 || task >= MaxTasks || strconv.Itoa(task) != number {
		return "", 0, false
	}
	return job, task, true
}
