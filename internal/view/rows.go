package view

import (
	"math"

	"dykeledge/internal/protocol"
)

// Status is the status of a job.
type Status uint8

// The statuses of a job. A job is Queued while none of its tasks is placed and Running while at least one
// is. Done and Cancelled are final.
const (
	Queued Status = iota
	Running
	Done
	Cancelled
)

// String returns the name that users and scripts see.
func (s Status) String() string {
	return [...]string{"queued", "running", "done", "cancelled"}[s]
}

// Final reports whether the status never changes again.
func (s Status) Final() bool { return s >= Done }

// Job is the row of a job. A row is not modified once it is in a model.
type Job struct {
	ID                string            `json:"id"`
	Team              string            `json:"team"`
	Class             string            `json:"class"`
	Priority          protocol.Priority `json:"priority"` // as submitted, without what it inherits from dependents
	Service           bool              `json:"service,omitempty"`
	Status            Status            `json:"status"`
	Suspect           bool              `json:"suspect,omitempty"`  // failed on several machines before any of its tasks had completed
	Preempting        bool              `json:"evicting,omitempty"` // has a victim set whose tasks are still stopping
	Tasks             uint32            `json:"tasks"`
	Done              uint32            `json:"done"`
	Placed            uint32            `json:"placed"`
	UnmetDependencies uint32            `json:"awaits,omitempty"` // number of unmet dependencies
	Shard             uint32            `json:"share"`
	Cpus              uint64            `json:"cpus_milli"` // of one task, as Gpus
	Gpus              uint64            `json:"gpus_milli"`
	SubmittedMs       int64             `json:"submitted_ms"` // Unix time in ms, as all fields whose key ends in _ms except estimate_ms
	ReadyMs           int64             `json:"from_ms"`      // when the job became ready; its waiting time counts from then
	DeadlineMs        int64             `json:"due_ms,omitempty"`
	EstimateMs        uint64            `json:"estimate_ms"` // the submitter's estimate of the run time of one task, in ms
	EndedMs           int64             `json:"end_ms,omitempty"`

	seq uint64
}

// Waiting returns the number of tasks that are neither done nor placed, 0 for a job that is final or has
// unmet dependencies.
func (j *Job) Waiting() uint32 {
	if j.Status.Final() || j.UnmetDependencies > 0 {
		return 0
	}
	return j.Tasks - min(j.Tasks, j.Done+j.Placed)
}

// Behind returns by how many milliseconds the job has missed its deadline, or will miss it if its remaining
// tasks start now and take the estimated time. It is 0 or less if the job is in time, and math.MinInt64 for
// a cancelled job or one without a deadline.
func (j *Job) Behind(now int64) int64 {
	switch {
	case j.DeadlineMs == 0 || j.Status == Cancelled:
		return math.MinInt64
	case j.Status == Done:
		return j.EndedMs - j.DeadlineMs
	}
	left := int64(0)
	if j.Waiting() > 0 || j.UnmetDependencies > 0 {
		left = int64(j.EstimateMs)
	}
	return now + left - j.DeadlineMs
}

// MachineState is the state of a machine according to the records in the state service.
type MachineState uint8

// The states of a machine.
const (
	Booting MachineState = iota
	Idle
	Busy
	Unhealthy
	Draining
	Returning
)

// String returns the name that users and scripts see.
func (s MachineState) String() string {
	return [...]string{"booting", "idle", "busy", "sick", "draining", "returning"}[s]
}

// Machine is the row of a machine.
type Machine struct {
	Name     string       `json:"name"`
	Type     string       `json:"type"`
	Zone     string       `json:"zone"`
	Spot     bool         `json:"spot,omitempty"`
	State    MachineState `json:"state"`
	Shard    uint32       `json:"share"`
	Tasks    uint32       `json:"tasks"`
	Cpus     uint64       `json:"cpus_milli"`
	Gpus     uint64       `json:"gpus_milli"`
	UsedCpus uint64       `json:"used_cpus_milli"`
	UsedGpus uint64       `json:"used_gpus_milli"`
	Price    uint64       `json:"price_micro_per_hour"`
	Uses     []MachineUse `json:"uses,omitempty"` // one entry per team, in the order of the team names

	seq uint64
}

// MachineUse is the part of a machine that the tasks of one team use.
type MachineUse struct {
	Team  string `json:"team"`
	Tasks uint32 `json:"tasks"`
	Cpus  uint64 `json:"cpus_milli"`
	Gpus  uint64 `json:"gpus_milli"`
}

// rateMicro returns the part of the machine's price, in millionths per hour, that is charged to the use: in
// proportion to the resource of which it takes the larger part.
func (u MachineUse) rateMicro(m *Machine) uint64 {
	proportional := func(use, all uint64) uint64 {
		if all == 0 {
			return 0
		}
		return m.Price * use / all
	}
	return max(proportional(u.Cpus, m.Cpus), proportional(u.Gpus, m.Gpus))
}

// VictimSet is the row of a victim set.
type VictimSet struct {
	Key        string   `json:"key"` // time and sequence number; rows are sorted by it
	Job        string   `json:"job"` // the job that needs the room
	Team       string   `json:"team"`
	ChosenAtMs int64    `json:"at_ms"`
	Shard      uint32   `json:"share"`
	Open       bool     `json:"open"` // the victims are still stopping
	Victims    []Victim `json:"victims"`

	seq uint64
}

// Victim is one task of a victim set.
type Victim struct {
	Job     string  `json:"job"`
	Team    string  `json:"team"`
	Task    uint32  `json:"task"`
	Attempt uint64  `json:"attempt"`
	Score   float64 `json:"score"`
}

// Team is the row of a team: its guarantee, limit and usage. The totals are those of the job rows.
type Team struct {
	Name       string `json:"name"`
	Cpus       uint64 `json:"guarantee_cpus_milli"`
	CpusMax    uint64 `json:"limit_cpus_milli"` // 0: no limit
	Gpus       uint64 `json:"guarantee_gpus_milli"`
	GpusMax    uint64 `json:"limit_gpus_milli"`
	Totals     `json:"sum"`
	RateMicro  uint64 `json:"money_micro_per_hour"`
	DominantPM uint64 `json:"dominant_share_permille"` // the larger of the team's shares of all processors and of all accelerators
}

// Borrowed returns what the team uses beyond its guarantee, in thousandths of processors and accelerators.
func (t *Team) Borrowed() (cpus, gpus uint64) {
	return t.UsedCpus - min(t.UsedCpus, t.Cpus), t.UsedGpus - min(t.UsedGpus, t.Gpus)
}

// Totals holds the totals of job rows.
type Totals struct {
	Queued      uint64 `json:"queued_jobs"`
	Running     uint64 `json:"running_jobs"`
	Finished    uint64 `json:"finished_jobs"` // done and cancelled jobs that are still listed
	Waiting     uint64 `json:"waiting_tasks"`
	Placed      uint64 `json:"placed_tasks"`
	UsedCpus    uint64 `json:"used_cpus_milli"`
	UsedGpus    uint64 `json:"used_gpus_milli"`
	WaitingCpus uint64 `json:"waiting_cpus_milli"`
}

// add adds a job, or subtracts it if sign is -1.
func (s *Totals) add(job *Job, sign int64) {
	factor := uint64(sign) // the unsigned totals wrap around, so subtraction is exact
	switch job.Status {
	case Queued:
		s.Queued += factor
	case Running:
		s.Running += factor
	default:
		s.Finished += factor
	}
	waiting, placed := uint64(job.Waiting()), uint64(job.Placed)
	s.Waiting += factor * waiting
	s.Placed += factor * placed
	s.UsedCpus += factor * placed * job.Cpus
	s.UsedGpus += factor * placed * job.Gpus
	s.WaitingCpus += factor * waiting * job.Cpus
}

// addTotals adds other totals.
func (s *Totals) addTotals(other Totals) {
	from := other.fields()
	for i, field := range s.fields() {
		*field += *from[i]
	}
}

// Fleet holds the totals of machine rows.
type Fleet struct {
	Machines  uint64 `json:"machines"`
	Booting   uint64 `json:"booting"`
	Cpus      uint64 `json:"cpus_milli"`
	Gpus      uint64 `json:"gpus_milli"`
	UsedCpus  uint64 `json:"used_cpus_milli"`
	UsedGpus  uint64 `json:"used_gpus_milli"`
	RateMicro uint64 `json:"money_micro_per_hour"`
}

// add adds a machine, or subtracts it if sign is -1.
func (f *Fleet) add(machine *Machine, sign int64) {
	factor := uint64(sign)
	f.Machines += factor
	if machine.State == Booting {
		f.Booting += factor
	}
	f.Cpus += factor * machine.Cpus
	f.Gpus += factor * machine.Gpus
	f.UsedCpus += factor * machine.UsedCpus
	f.UsedGpus += factor * machine.UsedGpus
	f.RateMicro += factor * machine.Price
}

// Member is the row of a controller.
type Member struct {
	Name     string   `json:"name"`
	Alive    bool     `json:"alive"`
	Leader   bool     `json:"leader"`
	NotReady bool     `json:"unfit,omitempty"` // the controller reaches no worker
	Shards   []uint32 `json:"shares"`
}

// Head describes a snapshot and holds the totals at its revision.
type Head struct {
	Member         string   `json:"node"`  // the controller that took the snapshot
	Epoch          uint64   `json:"epoch"` // identifies the model; sequence numbers are comparable only within one epoch
	Seq            uint64   `json:"seq"`
	Revision       uint64   `json:"revision"`
	NowMs          int64    `json:"now_ms"`   // the controller's clock when it sent the page
	AsOfMs         int64    `json:"as_of_ms"` // the latest time at which the revision was known to be the newest one, by the same clock
	FinalSinceMs   int64    `json:"since_ms"` // jobs that ended earlier are not listed
	StateServiceOK bool     `json:"state_ok"` // the state service answers the controller
	Scope          string   `json:"scope"`    // the team whose view it is, "" for operators
	Teams          []Team   `json:"teams"`
	Others         *Totals  `json:"others,omitempty"` // totals of the teams that the scope leaves out
	Fleet          Fleet    `json:"fleet"`
	Members        []Member `json:"nodes"`
}

// Team returns the row of a team, nil if the head does not list it.
func (h *Head) Team(name string) *Team {
	for i := range h.Teams {
		if h.Teams[i].Name == name {
			return &h.Teams[i]
		}
	}
	return nil
}

// Reason is why the tasks of a job wait, according to the controller that was asked.
type Reason struct {
	Job    string `json:"job"`
	Why    string `json:"why"` // "" if none of its tasks waits
	Member string `json:"node"`
	// OwnsShard is set if the controller owns the shard of the job and so decides on its placement.
	OwnsShard bool  `json:"owner"`
	AtMs      int64 `json:"at_ms"`
}

// MaxReasons is the maximum number of jobs in one request for reasons.
const MaxReasons = 64
