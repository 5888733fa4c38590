package view

import (
	"math"

	"dykeledge/internal/protocol"
)

// Status is how a job stands.
type Status uint8

// A job is queued while no task of it is placed, running while one is. Done and cancelled
// are kept for good.
const (
	Queued Status = iota
	Running
	Done
	Cancelled
)

// String returns the name that people and scripts see.
func (s Status) String() string {
	return [...]string{"queued", "running", "done", "cancelled"}[s]
}

// Final tells whether a status never changes again.
func (s Status) Final() bool { return s >= Done }

// Job is a job's row. Rows are never changed once they are in a model.
type Job struct {
	ID       string            `json:"id"`
	Team     string            `json:"team"`
	Class    string            `json:"class"`
	Priority protocol.Priority `json:"priority"` // its own
	Service  bool              `json:"service,omitempty"`
	Status   Status            `json:"status"`
	Suspect  bool              `json:"suspect,omitempty"`  // failed on several machines before any of its tasks had completed
	Evicting bool              `json:"evicting,omitempty"` // tasks of others stop for it
	Tasks    uint32            `json:"tasks"`
	Done     uint32            `json:"done"`
	Placed   uint32            `json:"placed"`
	Awaits   uint32            `json:"awaits,omitempty"` // jobs that it still waits for
	Shard    uint32            `json:"share"`
	Cpus     uint64            `json:"cpus_milli"` // a task
	Gpus     uint64            `json:"gpus_milli"`
	Submit   int64             `json:"submitted_ms"` // time of day in ms, as all whose key ends in _ms
	From     int64             `json:"from_ms"`      // from when on its times count
	Due      int64             `json:"due_ms,omitempty"`
	Estimate uint64            `json:"estimate_ms"` // its owner's estimate of a task's run time
	End      int64             `json:"end_ms,omitempty"`

	seq uint64
}

// Waiting is how many tasks are neither done nor placed, of a job that may start.
func (j *Job) Waiting() uint32 {
	if j.Status.Final() || j.Awaits > 0 {
		return 0
	}
	return j.Tasks - min(j.Tasks, j.Done+j.Placed)
}

// Behind is by how many milliseconds a job will miss its deadline, or has missed it, if
// what is left of it starts now and takes as long as was estimated; 0 or less: it will not.
// Of a job without a deadline it is the least number.
func (j *Job) Behind(now int64) int64 {
	switch {
	case j.Due == 0 || j.Status == Cancelled:
		return math.MinInt64
	case j.Status == Done:
		return j.End - j.Due
	}
	left := int64(0)
	if j.Waiting() > 0 || j.Awaits > 0 {
		left = int64(j.Estimate)
	}
	return now + left - j.Due
}

// MachineState is how a machine stands, as far as the records tell.
type MachineState uint8

// The states of a machine.
const (
	Booting MachineState = iota
	Idle
	Busy
	Sick
	Draining
	Returning
)

// String returns the name that people and scripts see.
func (s MachineState) String() string {
	return [...]string{"booting", "idle", "busy", "sick", "draining", "returning"}[s]
}

// Machine is a machine's row.
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
	Uses     []Use        `json:"uses,omitempty"` // by team, in the order of their names

	seq uint64
}

// Use is what one team's tasks take of a machine.
type Use struct {
	Team  string `json:"team"`
	Tasks uint32 `json:"tasks"`
	Cpus  uint64 `json:"cpus_milli"`
	Gpus  uint64 `json:"gpus_milli"`
}

// rateMicro is the part of a machine's price that a use pays: that of the resource of which it
// takes the larger part.
func (u Use) rateMicro(m *Machine) uint64 {
	part := func(use, all uint64) uint64 {
		if all == 0 {
			return 0
		}
		return m.Price * use / all
	}
	return max(part(u.Cpus, m.Cpus), part(u.Gpus, m.Gpus))
}

// Eviction is an evicted set's row.
type Eviction struct {
	Key     string   `json:"key"` // time and job: rows sort by it
	Job     string   `json:"job"` // that needs the room
	Team    string   `json:"team"`
	At      int64    `json:"at_ms"`
	Shard   uint32   `json:"share"`
	Open    bool     `json:"open"` // its victims are still stopping
	Victims []Victim `json:"victims"`

	seq uint64
}

// Victim is one task of an evicted set.
type Victim struct {
	Job     string  `json:"job"`
	Team    string  `json:"team"`
	Task    uint32  `json:"task"`
	Attempt uint64  `json:"attempt"`
	Score   float64 `json:"score"`
}

// Team is a team's guarantee, limit and what it has. The sums are over the rows.
type Team struct {
	Name       string `json:"name"`
	Cpus       uint64 `json:"guarantee_cpus_milli"`
	CpusMax    uint64 `json:"limit_cpus_milli"` // 0: none
	Gpus       uint64 `json:"guarantee_gpus_milli"`
	GpusMax    uint64 `json:"limit_gpus_milli"`
	Totals     `json:"sum"`
	RateMicro  uint64 `json:"money_micro_per_hour"`
	DominantPM uint64 `json:"dominant_share_permille"` // of all machines, the larger one of processors and accelerators
}

// Borrowed is what a team uses beyond its guarantee, in thousandths of processors and
// accelerators.
func (t *Team) Borrowed() (cpus, gpus uint64) {
	return t.UsedCpus - min(t.UsedCpus, t.Cpus), t.UsedGpus - min(t.UsedGpus, t.Gpus)
}

// Totals counts jobs and tasks.
type Totals struct {
	Queued      uint64 `json:"queued_jobs"`
	Running     uint64 `json:"running_jobs"`
	Finished    uint64 `json:"finished_jobs"` // of those that are still listed
	Waiting     uint64 `json:"waiting_tasks"`
	Placed      uint64 `json:"placed_tasks"`
	UsedCpus    uint64 `json:"used_cpus_milli"`
	UsedGpus    uint64 `json:"used_gpus_milli"`
	WaitingCpus uint64 `json:"waiting_cpus_milli"`
}

// add adds a job's part, or takes it away with sign -1.
func (s *Totals) add(job *Job, sign int64) {
	factor := uint64(sign) // sums wrap around, and come back exactly
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

// addTotals adds another sum.
func (s *Totals) addTotals(other Totals) {
	from := other.fields()
	for i, field := range s.fields() {
		*field += *from[i]
	}
}

// Fleet sums up the machines.
type Fleet struct {
	Machines  uint64 `json:"machines"`
	Booting   uint64 `json:"booting"`
	Cpus      uint64 `json:"cpus_milli"`
	Gpus      uint64 `json:"gpus_milli"`
	UsedCpus  uint64 `json:"used_cpus_milli"`
	UsedGpus  uint64 `json:"used_gpus_milli"`
	RateMicro uint64 `json:"money_micro_per_hour"`
}

// add adds a machine's part, or takes it away with sign -1.
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

// Member is a controller's row: one member of the group of controllers.
type Member struct {
	Name   string   `json:"name"`
	Alive  bool     `json:"alive"`
	Leader bool     `json:"leader"`
	Unfit  bool     `json:"unfit,omitempty"` // reaches no worker
	Shares []uint32 `json:"shares"`
}

// Head is what a snapshot says of itself, and the sums at its revision.
type Head struct {
	Member   string   `json:"node"`  // that made it
	Epoch    uint64   `json:"epoch"` // of that controller's model: sequence numbers compare within one only
	Seq      uint64   `json:"seq"`
	Revision uint64   `json:"revision"`
	Now      int64    `json:"now_ms"`   // the controller's clock when it answered
	AsOf     int64    `json:"as_of_ms"` // when the revision was certainly the latest one, by the same clock
	Since    int64    `json:"since_ms"` // jobs that ended before are not listed
	StateOK  bool     `json:"state_ok"` // the state service serves the controller
	Scope    string   `json:"scope"`    // the team that it is for, "" for operators
	Teams    []Team   `json:"teams"`
	Others   *Totals  `json:"others,omitempty"` // all teams that the scope leaves out
	Fleet    Fleet    `json:"fleet"`
	Members  []Member `json:"nodes"`
}

// Team finds a team of the head, nil if it is not listed.
func (h *Head) Team(name string) *Team {
	for i := range h.Teams {
		if h.Teams[i].Name == name {
			return &h.Teams[i]
		}
	}
	return nil
}

// Reason says why a job's tasks wait, as the controller that was asked knows it.
type Reason struct {
	Job    string `json:"job"`
	Why    string `json:"why"` // "": none of its tasks waits
	Member string `json:"node"`
	// Owner tells that the controller owns the job's shard, and so decides.
	Owner bool  `json:"owner"`
	At    int64 `json:"at_ms"`
}

// MaxReasons is how many jobs one request may ask about.
const MaxReasons = 64
