package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Shape says how the tasks of a job belong together.
type Shape uint8

// The shapes of a job.
const (
	Batch Shape = iota
	Service
)

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

func (p Priority) String() string {
	return [...]string{"low", "normal", "high", "production"}[p]
}

// Submission is a checked job description.
type Submission struct {
	ID              string
	Class           string
	Team            string
	Shape           Shape
	Priority        Priority
	Tasks           int
	Cpus            float64
	Gpus            float64
	MemGB           float64
	Image           string
	ImageGB         float64
	Types           []string // empty: any
	Zone            string   // empty: any
	OneZone         bool
	Spread          bool
	Spot            bool
	EstimateS       float64
	CheckpointS     float64
	CheckpointCostS float64
	DeadlineS       float64  // 0: none
	Dependencies    []string // jobs that have to be done before, each once
}

const (
	jobPrefix = "job-"
	maxName   = 128
	maxAmount = 1e9
)

// ValidJobID tells whether an id has the form job-000412.
func ValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, jobPrefix)
	if !ok || len(digits) < 6 || len(digits) > 18 {
		return false
	}
	for _, c := range []byte(digits) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// TaskName is the wire's name of a task.
func TaskName(job string, task int) string { return job + "/" + strconv.Itoa(task) }

// SplitTask takes a task's name apart.
func SplitTask(name string) (job string, task int, ok bool) {
	i := strings.LastIndexByte(name, '/')
	if i < 0 || !ValidJobID(name[:i]) {
		return "", 0, false
	}
	n, err := strconv.Atoi(name[i+1:])
	if err != nil || n < 0 || n >= MaxTasks || strconv.Itoa(n) != name[i+1:] {
		return "", 0, false
	}
	return name[:i], n, true
}

type fields map[string]json.RawMessage

func (f fields) get(name string, into any, nullable bool) error {
	raw, ok := f[name]
	if !ok || bytes.Equal(raw, []byte("null")) {
		if nullable {
			return nil
		}
		return fmt.Errorf("field %s is missing", name)
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("field %s has the wrong type", name)
	}
	return nil
}

func object(body []byte) (fields, error) {
	if len(body) > MaxBody {
		return nil, errors.New("body is larger than 64 KiB")
	}
	var f fields
	if t := bytes.TrimLeft(body, " \t\r\n"); len(t) == 0 || t[0] != '{' {
		return nil, errors.New("body is not a JSON object")
	}
	if err := json.Unmarshal(body, &f); err != nil {
		return nil, errors.New("body is not valid JSON")
	}
	return f, nil
}

// ParseSubmission checks a submission's form. Its errors are for the user.
func ParseSubmission(body []byte) (*Submission, error) {
	fields, err := object(body)
	if err != nil {
		return nil, err
	}
	var submission Submission
	var shape, urgency string
	var zone *string
	var due *float64
	steps := []struct {
		name     string
		into     any
		nullable bool
	}{
		{"id", &submission.ID, false}, {"jobclass", &submission.Class, false}, {"crew", &submission.Team, false},
		{"shape", &shape, false}, {"urgency", &urgency, false}, {"shards", &submission.Tasks, false},
		{"cpus", &submission.Cpus, false}, {"accelerators", &submission.Gpus, false}, {"ramGb", &submission.MemGB, false},
		{"kit", &submission.Image, false}, {"pullGb", &submission.ImageGB, false}, {"hulls", &submission.Types, true},
		{"berth", &zone, true}, {"together", &submission.OneZone, false}, {"scatter", &submission.Spread, false},
		{"loaners", &submission.Spot, false}, {"expectedS", &submission.EstimateS, false},
		{"markEveryS", &submission.CheckpointS, false}, {"markCostS", &submission.CheckpointCostS, false}, {"dueS", &due, true}, {"awaits", &submission.Dependencies, true},
	}
	for _, st := range steps {
		if err := fields.get(st.name, st.into, st.nullable); err != nil {
			return nil, err
		}
	}
	if !ValidJobID(submission.ID) {
		return nil, errors.New("field id is not in the form job-000412")
	}
	switch shape {
	case "batch":
		submission.Shape = Batch
	case "daemon":
		submission.Shape = Service
	default:
		return nil, errors.New("field shape is not batch or daemon")
	}
	switch urgency {
	case "low":
		submission.Priority = Low
	case "normal":
		submission.Priority = Normal
	case "high":
		submission.Priority = High
	case "production":
		submission.Priority = Production
	default:
		return nil, errors.New("field urgency is not production, high, normal or low")
	}
	if submission.Tasks < 1 || submission.Tasks > MaxTasks {
		return nil, fmt.Errorf("field shards is not between 1 and %d", MaxTasks)
	}
	for _, n := range []struct {
		name string
		v    string
	}{{"jobclass", submission.Class}, {"crew", submission.Team}, {"kit", submission.Image}} {
		if n.v == "" || len(n.v) > maxName {
			return nil, fmt.Errorf("field %s is not a name of 1 to %d bytes", n.name, maxName)
		}
	}
	if submission.Cpus <= 0 {
		return nil, errors.New("field cpus is not above 0")
	}
	for _, a := range []struct {
		name string
		v    float64
	}{
		{"cpus", submission.Cpus}, {"accelerators", submission.Gpus}, {"ramGb", submission.MemGB}, {"pullGb", submission.ImageGB},
		{"expectedS", submission.EstimateS}, {"markEveryS", submission.CheckpointS}, {"markCostS", submission.CheckpointCostS},
	} {
		if a.v < 0 || a.v > maxAmount || math.IsNaN(a.v) {
			return nil, fmt.Errorf("field %s is out of range", a.name)
		}
	}
	if due != nil {
		if *due <= 0 || *due > maxAmount {
			return nil, errors.New("field dueS is out of range")
		}
		submission.DeadlineS = *due
	}
	if zone != nil {
		if *zone == "" || len(*zone) > maxName {
			return nil, errors.New("field berth is not a zone's name")
		}
		submission.Zone = *zone
	}
	seen := make(map[string]bool, len(submission.Dependencies))
	needs := submission.Dependencies[:0]
	for _, id := range submission.Dependencies {
		if !ValidJobID(id) {
			return nil, errors.New("field awaits holds something that is no job's id")
		}
		if !seen[id] {
			seen[id] = true
			needs = append(needs, id)
		}
	}
	submission.Dependencies = needs
	if fields["hulls"] != nil && submission.Types != nil && len(submission.Types) == 0 {
		return nil, errors.New("field hulls is an empty list")
	}
	for _, t := range submission.Types {
		if t == "" || len(t) > maxName {
			return nil, errors.New("field hulls holds something that is no name")
		}
	}
	return &submission, nil
}

// ParseHeartbeat checks a worker's heartbeat.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var heartbeat Heartbeat
	if t := bytes.TrimLeft(body, " \t\r\n"); len(t) == 0 || t[0] != '{' {
		return nil, errors.New("report is not a JSON object")
	}
	if err := json.Unmarshal(body, &heartbeat); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if heartbeat.Machine == "" || len(heartbeat.Machine) > maxName || strings.ContainsAny(heartbeat.Machine, " /\n") {
		return nil, errors.New("report: host is not a name")
	}
	if heartbeat.Incarnation == 0 || heartbeat.Seq == 0 {
		return nil, errors.New("report: watch or tally is missing")
	}
	if heartbeat.Type == "" || heartbeat.Zone == "" || len(heartbeat.Type) > maxName || len(heartbeat.Zone) > maxName {
		return nil, errors.New("report: hull or berth is missing")
	}
	if heartbeat.PreemptionNoticeS != nil && (math.IsNaN(*heartbeat.PreemptionNoticeS) || *heartbeat.PreemptionNoticeS > maxAmount) {
		return nil, errors.New("report: recallS is out of range")
	}
	for _, t := range heartbeat.Tasks {
		if _, _, ok := SplitTask(t.Task); !ok {
			return nil, fmt.Errorf("report: %.60q is no task", t.Task)
		}
		switch t.State {
		case TaskFetching, TaskRunning, TaskCheckpointing, TaskExited:
		case "gathering":
		default:
			return nil, fmt.Errorf("report: %.20q is no state of a task", t.State)
		}
	}
	return &heartbeat, nil
}
