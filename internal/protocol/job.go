package protocol

import (
	"strconv"
	"strings"
)

// Limits of what users send.
const (
	// MaxBody is the size of a request's body, in bytes.
	MaxBody = 64 << 10
	// MaxTasks is the number of tasks of a job.
	MaxTasks = 100_000
)

// Shape says how the tasks of a job belong together.
type Shape uint8

// The shapes of a job.
const (
	Batch   Shape = iota // an array of tasks that run independently of one another
	Service              // tasks that serve together and are evicted together
)

// String is the shape's name on the wire.
func (s Shape) String() string { return [...]string{"batch", "daemon"}[s] }

// Priority of a job; a larger one goes first.
type Priority uint8

// The priorities, lowest first.
const (
	Low Priority = iota
	Normal
	High
	Production
)

// Top tells whether a job may make room by eviction.
func (p Priority) Top() bool { return p >= High }

// String is the priority's name on the wire.
func (p Priority) String() string {
	return [...]string{"low", "normal", "high", "production"}[p]
}

// ParsePriority finds the priority with a name on the wire.
func ParsePriority(name string) (Priority, bool) {
	for priority := Low; priority <= Production; priority++ {
		if priority.String() == name {
			return priority, true
		}
	}
	return 0, false
}

// parseShape finds the shape with a name on the wire.
func parseShape(name string) (Shape, bool) {
	for shape := Batch; shape <= Service; shape++ {
		if shape.String() == name {
			return shape, true
		}
	}
	return 0, false
}

// Submission is a job as a user describes it, checked by ParseSubmission.
type Submission struct {
	ID              string
	Class           string // the job class, which objectives refer to
	Team            string
	Shape           Shape
	Priority        Priority
	Tasks           int
	Cpus            float64  // cores of each task
	Gpus            float64  // accelerators of each task
	MemGB           float64  // memory of each task, in GB
	Image           string   // the container image
	ImageGB         float64  // size of the image, in GB
	Types           []string // the machine types that may run it; empty: any
	Zone            string   // the zone that has to run it; empty: any
	OneZone         bool     // all tasks in one zone
	Spread          bool     // at most half of the tasks, rounded up, in one zone
	Spot            bool     // may run on spot machines
	EstimateS       float64  // expected run time, in seconds
	CheckpointS     float64  // time between two checkpoints, in seconds
	CheckpointCostS float64  // time that a checkpoint takes, in seconds
	DeadlineS       float64  // time from submission within which it should be done, in seconds; 0: none
	Dependencies    []string // jobs that have to be done before, each once
}

// JobStatus is the state of a job that users see.
type JobStatus string

// The states that users see.
const (
	Queued    JobStatus = "queued"
	Running   JobStatus = "running"
	Done      JobStatus = "done"
	Cancelled JobStatus = "cancelled"
)

// Final tells whether a state is kept for good.
func (s JobStatus) Final() bool { return s == Done || s == Cancelled }

// JobState answers a submission, a query and a cancellation.
type JobState struct {
	ID                string    `json:"id"`
	Status            JobStatus `json:"status"`
	Done              int       `json:"done"`               // tasks that are done
	Running           int       `json:"running"`            // tasks that run
	UnmetDependencies int       `json:"awaiting,omitempty"` // jobs that it still waits for
}

// ErrorResponse is the body of an answer that refuses a request.
type ErrorResponse struct {
	Error string `json:"error"`
}

// The form of a job's id: a prefix and a number with leading zeros.
const (
	jobPrefix    = "job-"
	minJobDigits = 6
	maxJobDigits = 18
)

// ValidJobID tells whether an id has the form job-000412.
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

// TaskName is a task's name on the wire: job-000412/3.
func TaskName(job string, task int) string { return job + "/" + strconv.Itoa(task) }

// SplitTask takes a task's name apart. Only what TaskName writes of a valid job is accepted.
func SplitTask(name string) (job string, task int, ok bool) {
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
