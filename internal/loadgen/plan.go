package loadgen

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/fieldcheck"
	"dykeledge/internal/protocol"
)

// Profile describes a load: how long it lasts, and the streams of jobs in it.
type Profile struct {
	DurationS float64  `toml:"for_s"` // duration of the load, in seconds
	Streams   []Stream `toml:"stream"`
}

// Range holds one number, which is used as it is, or the two bounds of a uniform distribution.
type Range []float64

// Stream describes jobs of one kind, which arrive as a Poisson process.
type Stream struct {
	Team              string  `toml:"team"`
	Class             string  `toml:"class"`
	Priority          string  `toml:"priority"`   // low, normal, high or production
	PerMinute         float64 `toml:"per_minute"` // mean arrival rate, in jobs per minute
	StartS            float64 `toml:"from_s"`     // start of the stream, in seconds from the start of the load
	DurationS         float64 `toml:"for_s"`      // duration of the stream, in seconds; 0: until the load ends
	Tasks             Range   `toml:"tasks"`      // tasks of a job
	Cpus              Range   `toml:"cpus"`       // CPUs, GPUs and memory of a task
	Gpus              Range   `toml:"gpus"`
	MemGB             Range   `toml:"mem_gb"`
	RunS              Range   `toml:"run_s"`    // actual run time of a task, in seconds
	EstimateError     float64 `toml:"off_by"`   // largest relative error of the run time estimate in the submission
	DeadlineFactor    float64 `toml:"due_in"`   // deadline, as a multiple of the estimate; 0: none
	Service           bool    `toml:"service"`  // the job runs until it is cancelled
	OnDemandOnly      bool    `toml:"ordinary"` // the job does not accept spot machines
	CheckpointS       float64 `toml:"checkpoint_s"`
	CheckpointCostS   float64 `toml:"save_s"`       // time that a checkpoint takes, in seconds
	ImageGB           float64 `toml:"image_gb"`     // size of an image
	ImageCount        int     `toml:"images"`       // number of different images
	CancelFraction    float64 `toml:"cancel_part"`  // fraction of the jobs that their users cancel
	CancelAfterS      Range   `toml:"cancel_in_s"`  // time from acceptance to cancellation, in seconds
	FailFraction      float64 `toml:"fail_part"`    // fraction of the jobs whose tasks fail on every machine
	DependentFraction float64 `toml:"chain_part"`   // fraction of the jobs that depend on the stream's previous job
	SameZone          bool    `toml:"same_zone"`    // all tasks of a job run in one zone
	SpreadZones       bool    `toml:"half_a_zone"`  // at most half of a job's tasks run in one zone
	MachineType       string  `toml:"machine_type"` // the only machine type that the job accepts; empty: any
}

// Arrival is a job with the time at which it is submitted.
type Arrival struct {
	At           time.Duration // since the start of the load
	Job          protocol.Submission
	TaskDuration time.Duration // actual run time of each task
	Fails        bool          // the tasks fail on every machine
	CancelAfter  time.Duration // time from acceptance to cancellation; 0: the job is not cancelled
}

// Load reads and validates a profile. Errors fit on one line and name the file, the field and what was expected.
func Load(path string) (*Profile, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("load %s: expected a readable file: %w", path, err)
	}
	p, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("load %s: %w", path, err)
	}
	return p, nil
}

// Parse decodes and validates the text of a profile, which is TOML.
func Parse(raw []byte) (*Profile, error) {
	profile := &Profile{}
	if err := config.DecodeStrict(raw, profile); err != nil {
		return nil, err
	}
	if !(profile.DurationS > 0) || profile.DurationS > 86400 {
		return nil, &config.FieldError{Field: "for_s", Expected: "seconds from above 0 to 86400"}
	}
	if len(profile.Streams) == 0 {
		return nil, &config.FieldError{Field: "stream", Expected: "at least one [[stream]]"}
	}
	for i := range profile.Streams {
		if err := profile.Streams[i].check(fmt.Sprintf("stream[%d].", i)); err != nil {
			return nil, err
		}
	}
	return profile, nil
}

// check fills in the defaults of a stream and validates it; prefix is put before the names of fields in errors.
func (s *Stream) check(prefix string) error {
	setDefault := func(r *Range, v float64) {
		if len(*r) == 0 {
			*r = Range{v}
		}
	}
	setDefault(&s.Tasks, 1)
	setDefault(&s.Cpus, 1)
	setDefault(&s.Gpus, 0)
	setDefault(&s.MemGB, 1)
	setDefault(&s.RunS, 10)
	setDefault(&s.CancelAfterS, 5)
	if s.Priority == "" {
		s.Priority = protocol.Normal.String()
	}
	if s.Class == "" {
		s.Class = "load"
	}
	s.ImageCount = max(1, s.ImageCount)
	_, validPriority := protocol.ParsePriority(s.Priority)
	isFraction := func(v float64) bool { return v >= 0 && v <= 1 }
	isAmount := func(v float64) bool { return v >= 0 && v <= 1e6 }
	check := fieldcheck.WithPrefix(prefix)
	check.Require(s.Team != "", "team", "a team's name")
	check.Require(validPriority, "priority", "low, normal, high or production")
	check.Require(s.PerMinute > 0 && s.PerMinute <= 60_000, "per_minute", "a rate from above 0 to 60000")
	check.Require(isAmount(s.StartS), "from_s", "seconds of 0 or more")
	check.Require(isAmount(s.DurationS), "for_s", "seconds of 0 or more")
	check.Require(s.Tasks.inBounds(1, protocol.MaxTasks), "tasks", "a list of one or two counts from 1 to 100000")
	check.Require(s.Cpus.inBounds(1e-3, 1e4), "cpus", "a list of one or two numbers above 0")
	check.Require(s.Gpus.inBounds(0, 1e4), "gpus", "a list of one or two numbers of 0 or more")
	check.Require(s.MemGB.inBounds(0, 1e6), "mem_gb", "a list of one or two numbers of 0 or more")
	check.Require(s.RunS.inBounds(0, 1e6), "run_s", "a list of one or two numbers of seconds")
	check.Require(s.CancelAfterS.inBounds(0, 1e6), "cancel_in_s", "a list of one or two numbers of seconds")
	check.Require(isFraction(s.EstimateError), "off_by", "a fraction from 0 to 1")
	check.Require(isFraction(s.CancelFraction), "cancel_part", "a fraction from 0 to 1")
	check.Require(isFraction(s.FailFraction), "fail_part", "a fraction from 0 to 1")
	check.Require(isFraction(s.DependentFraction), "chain_part", "a fraction from 0 to 1")
	check.Require(isAmount(s.DeadlineFactor), "due_in", "a number of 0 or more")
	check.Require(isAmount(s.CheckpointS), "checkpoint_s", "seconds of 0 or more")
	check.Require(isAmount(s.CheckpointCostS), "save_s", "seconds of 0 or more")
	check.Require(isAmount(s.ImageGB), "image_gb", "a size of 0 or more")
	check.Require(!s.Service || s.DependentFraction == 0, "chain_part", "0 for services: no job can depend on them")
	return check.Err()
}

// inBounds reports whether r holds one number or two in ascending order, all from low to high.
func (r Range) inBounds(low, high float64) bool {
	return len(r) >= 1 && len(r) <= 2 && slices.IsSorted(r) && r[0] >= low && r[len(r)-1] <= high
}

// draw draws a value from the range.
func (r Range) draw(rnd *rand.Rand) float64 {
	return r[0] + rnd.Float64()*(r[len(r)-1]-r[0])
}

// ErrTooManyJobs means that a profile yields more than 200000 jobs, the most that the load generator plays on one machine.
var ErrTooManyJobs = errors.New("the profile yields more than 200000 jobs")

// Plan draws the jobs of a profile and returns them in the order of arrival. The same seed yields the same jobs, other
// seeds yield other job ids. Job ids are random, so their order is not the order of arrival.
func (p *Profile) Plan(seed uint64) ([]Arrival, error) {
	var arrivals []Arrival
	used := map[string]bool{}
	for i := range p.Streams {
		stream := &p.Streams[i]
		rnd := rand.New(rand.NewPCG(seed, uint64(i)+1))
		end := p.DurationS
		if stream.DurationS > 0 {
			end = min(end, stream.StartS+stream.DurationS)
		}
		last := ""
		for at := stream.StartS + rnd.ExpFloat64()*60/stream.PerMinute; at < end; at += rnd.ExpFloat64() * 60 / stream.PerMinute {
			arrival := stream.draw(rnd)
			arrival.At = time.Duration(at * float64(time.Second))
			for arrival.Job.ID == "" || used[arrival.Job.ID] {
				arrival.Job.ID = fmt.Sprintf("job-%09d", rnd.Uint64N(1e9))
			}
			used[arrival.Job.ID] = true
			if last != "" && rnd.Float64() < stream.DependentFraction {
				arrival.Job.Dependencies = []string{last}
			}
			last = arrival.Job.ID
			if arrivals = append(arrivals, arrival); len(arrivals) > 200_000 {
				return nil, ErrTooManyJobs
			}
		}
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return arrivals, nil
}

// draw draws one job of a stream, without arrival time, id and dependencies.
func (s *Stream) draw(rnd *rand.Rand) Arrival {
	round := func(v float64) float64 { return math.Round(v*100) / 100 }
	run := round(s.RunS.draw(rnd))
	priority, _ := protocol.ParsePriority(s.Priority) // check has validated it
	submission := protocol.Submission{Class: s.Class, Team: s.Team, Priority: priority, Tasks: int(math.Round(s.Tasks.draw(rnd))), Cpus: round(s.Cpus.draw(rnd)),
		Gpus: math.Round(s.Gpus.draw(rnd)), MemGB: round(s.MemGB.draw(rnd)), Image: fmt.Sprintf("%s-%d", s.Class, rnd.IntN(s.ImageCount)), ImageGB: s.ImageGB,
		OneZone: s.SameZone, Spread: s.SpreadZones, Spot: !s.OnDemandOnly, CheckpointS: s.CheckpointS, CheckpointCostS: s.CheckpointCostS}
	submission.Cpus = max(0.01, submission.Cpus)
	if s.MachineType != "" {
		submission.Types = []string{s.MachineType}
	}
	arrival := Arrival{TaskDuration: time.Duration(run * float64(time.Second)), Fails: rnd.Float64() < s.FailFraction}
	if s.Service {
		submission.Shape = protocol.Service
	} else {
		submission.EstimateS = round(run * (1 + s.EstimateError*(2*rnd.Float64()-1)))
	}
	if s.DeadlineFactor > 0 {
		submission.DeadlineS = max(1, round(s.DeadlineFactor*max(1, submission.EstimateS)))
	}
	if rnd.Float64() < s.CancelFraction {
		arrival.CancelAfter = max(time.Millisecond, time.Duration(s.CancelAfterS.draw(rnd)*float64(time.Second)))
	}
	arrival.Job = submission
	return arrival
}
