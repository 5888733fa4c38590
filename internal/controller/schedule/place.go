// Package schedule decides what runs where: placement, fair share and
// eviction, as pure functions over the storage's view.
package schedule

import (
	"math"
	"slices"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/storage"
)

const eps = 1e-6

// packSeconds is how much longer a fetch may take for a task to be packed with
// others rather than to keep another machine from being returned.
const packSeconds = 3

// Slot is a machine that may take tasks, with what is free on it.
type Slot struct {
	Machine        *storage.Machine
	Free           storage.Usage
	Images         []int          // images that it has
	FetchingImages []int          // images that it is fetching
	FetchDoneS     float64        // seconds until it has those
	FetchGBs       float64        // GB a second
	Risk           float64        // seconds that a placement here is expected to cost, all told
	Rank           float64        // from 0 to below 1, by price and then by name
	Reservations   []Reservation  // room that is kept for certain jobs
	Fragile        int            // tasks on it that stand to lose much if it is taken
	BootS          float64        // seconds until it is up, as a guess
	Preemptible    storage.Usage  // what its tasks take that top-priority work may evict
	PerGpu         float64        // CPUs for each of its accelerators; 0: it has none
	Record         *GroupCapacity // where it is written down, with other machines
	at             int32          // its place among all of a pass
}

// GroupCapacity is a record in the state service that several slots may share.
type GroupCapacity struct {
	Touched bool // it is being rewritten anyway
	Free    int  // how many more tasks it can list
}

// Reservation is room on a machine that an eviction freed for a job.
type Reservation struct {
	Job   *storage.Job
	Slots int
}

// Input is what a placement pass looks at. It changes Slots and Used.
type Input struct {
	Now      time.Time
	Slots    []*Slot
	Booting  []*Slot // machines that come up: nothing goes there yet
	Jobs     []*storage.Job
	Teams    []config.Team
	Used     []storage.Usage
	Capacity storage.Usage
	// TimeAllowed is how long a job may take from its submission, 0: no aim; late: it has missed
	// all its aims.
	TimeAllowed func(*storage.Job) (d time.Duration, late bool)
	// MustBegin, if set, tells whether a job has waited too long without a task of it placed.
	MustBegin func(*storage.Job) bool
	// Overdue, if set, tells whether a job has waited far too long.
	Overdue func(*storage.Job) bool
	// Queues are the classes of the teams; what a pass places is added to what they use.
	Queues QueueStates
	// Overloaded tells that their floors count.
	Overloaded bool
	// Hold tells whether a job must not start tasks now.
	Hold func(*storage.Job) bool
	// MayPreempt, if set, tells whether a job may evict best-effort work now.
	MayPreempt func(*storage.Job) bool
	// MaxTasks, if set, is how many of a job's tasks may be placed in this pass.
	MaxTasks func(*storage.Job) int
	// OnDemandWeight is what it costs, in seconds, to put work that may use a spot
	// machine on an ordinary one.
	OnDemandWeight float64
	// Records bounds how many more records may be rewritten.
	Records int
	// Tasks bounds how many tasks are placed.
	Tasks int
	// Scratch, if set, is room that one pass leaves to the next.
	Scratch *Scratch
}

// Scratch is room to work in, kept from pass to pass.
type Scratch struct{ cursors []cursor }

// Placement puts a task on a machine.
type Placement struct {
	Job  *storage.Job
	Task int
	Slot *Slot
}

// Result is what a pass decided.
type Result struct {
	Placed []Placement
	More   bool                 // the bounds ended the pass early
	Short  map[*storage.Job]int // tasks that found no room, by job, or that start sooner on room which they evict
	Scans  int                  // looks at all machines
}

type cursor struct {
	job     *storage.Job
	next    int
	left    int
	placed  []int32   // by zone, in this pass
	took    []*Slot   // by task, in this pass
	claimed []*Slot   // by task that waits for room which it evicts, in this pass
	starts  time.Time // when it should, at the latest
	due     time.Time // zero: no time
	slack   float64   // seconds until it must have its room in order to be in time
	work    float64   // left to start, in seconds of a CPU
	urgency
}

type queue struct {
	class storage.ClassQueue
	jobs  []*cursor
	find  finder
}

// queues puts what waits into the queues of its queues, in order.
func queues(input *Input) []*queue {
	if input.Scratch == nil {
		input.Scratch = &Scratch{}
	}
	cursors := slices.Grow(input.Scratch.cursors[:0], len(input.Jobs)) // none is moved while the pass lasts
	input.Scratch.cursors = cursors
	var live []*queue
	for _, job := range input.Jobs {
		if job.Waiting() == 0 || (input.Hold != nil && input.Hold(job)) {
			continue
		}
		var q *queue
		live, q = queueOf(live, job)
		left := job.Waiting()
		if input.MaxTasks != nil {
			left = min(left, input.MaxTasks(job))
		}
		cursors = append(cursors, cursor{job: job, next: job.NextWaiting(0), left: left})
		c := &cursors[len(cursors)-1]
		c.aim(input)
		q.jobs = append(q.jobs, c)
	}
	for _, q := range live {
		q.order(input)
	}
	return live
}

// Place decides which waiting tasks start where.
func Place(input *Input) Result {
	res := Result{Short: map[*storage.Job]int{}}
	live := queues(input)
	find := newSearch(input)
	teams := make([]int, len(input.Teams))
	for len(live) > 0 && len(res.Placed) < input.Tasks {
		best := nextQueue(input, live, teams)
		queue := live[best]
		cursor := queue.jobs[0]
		var slot *Slot
		var bounded bool
		within := WithinLimit(input.Teams[cursor.job.Team], input.Used[cursor.job.Team], cursor.job, 1)
		if within {
			slot, bounded = find.next(&queue.find, cursor)
		}
		var waits *Slot
		if slot != nil {
			waits = input.sooner(cursor, slot)
		}
		switch {
		case waits != nil:
			if waits.BootS == 0 {
				res.Short[cursor.job]++
			}
			cursor.left--
			cursor.next = cursor.job.NextWaiting(cursor.next + 1)
		case slot != nil:
			take(input, cursor, slot)
			find.taken(slot, live)
			res.Placed = append(res.Placed, Placement{cursor.job, cursor.next, slot})
			cursor.left--
			cursor.next = cursor.job.NextWaiting(cursor.next + 1)
		case bounded:
			res.More = true
			cursor.left = 0
		default:
			if within {
				res.Short[cursor.job] += cursor.left
			}
			cursor.left = 0
		}
		if cursor.left == 0 || cursor.next < 0 {
			queue.jobs = queue.jobs[1:]
			if len(queue.jobs) == 0 {
				live = slices.Delete(live, best, best+1)
			}
		}
	}
	if len(live) > 0 {
		res.More = true
	}
	res.Scans = find.scans
	return res
}

// DominantShare is the largest part of any resource that a team uses.
func DominantShare(u, capacity storage.Usage) float64 {
	part := func(x, of float64) float64 {
		if of <= 0 {
			return 0
		}
		return x / of
	}
	return max(part(u.Cpus, capacity.Cpus), part(u.Gpus, capacity.Gpus), part(u.Mem, capacity.Mem))
}

// WithinGuarantee tells whether a team that uses u may claim room for one more task.
func WithinGuarantee(t config.Team, u storage.Usage, j *storage.Job) bool {
	if t.Cpus <= 0 && t.Gpus <= 0 {
		return false
	}
	return u.Cpus+j.Cpus <= t.Cpus+eps && u.Gpus+j.Gpus <= t.Gpus+eps
}

// WithinLimit tells whether n more tasks stay under the team's limit.
func WithinLimit(t config.Team, u storage.Usage, j *storage.Job, n int) bool {
	return (t.CpusMax <= 0 || u.Cpus+float64(n)*j.Cpus <= t.CpusMax+eps) &&
		(t.GpusMax <= 0 || u.Gpus+float64(n)*j.Gpus <= t.GpusMax+eps)
}

// CapacityWithin is how many of n more tasks stay under the team's limit.
func CapacityWithin(t config.Team, u storage.Usage, j *storage.Job, n int) int {
	for _, bound := range [...]struct{ limit, used, each float64 }{{t.CpusMax, u.Cpus, j.Cpus}, {t.GpusMax, u.Gpus, j.Gpus}} {
		if bound.limit > 0 && bound.each > 0 {
			n = min(n, int((bound.limit-bound.used+eps)/bound.each))
		}
	}
	return max(0, n)
}

// Allowed tells whether a job's tasks may run on such a machine at all.
func Allowed(j *storage.Job, m *storage.Machine) bool {
	if m.Spot && !j.Spot {
		return false
	}
	if j.Zone >= 0 && j.Zone != m.Zone {
		return false
	}
	return len(j.Types) == 0 || slices.Contains(j.Types, m.Type)
}

// Fits is how many tasks of a job fit into what is free.
func Fits(free storage.Usage, j *storage.Job) int {
	n := math.Inf(1)
	for _, d := range [...][2]float64{{free.Cpus, j.Cpus}, {free.Gpus, j.Gpus}, {free.Mem, j.Mem}} {
		if d[1] > 0 {
			n = min(n, math.Floor(d[0]/d[1]+eps))
		}
	}
	return int(max(0, min(n, 1e6)))
}

// FreeFor is what a job may use on a slot: room kept for other jobs is not free to it.
func FreeFor(s *Slot, j *storage.Job) storage.Usage {
	f := s.Free
	for _, h := range s.Reservations {
		if h.Job != j {
			n := float64(h.Slots)
			f.Cpus, f.Gpus, f.Mem = f.Cpus-n*h.Job.Cpus, f.Gpus-n*h.Job.Gpus, f.Mem-n*h.Job.Mem
		}
	}
	return f
}

func inZone(c *cursor, z int) int {
	n := 0
	if z < len(c.job.ByZone) {
		n += int(c.job.ByZone[z])
	}
	if z < len(c.placed) {
		n += int(c.placed[z])
	}
	return n
}

func zoneAllows(input *Input, scheduleCursor *cursor, z int) bool {
	job := scheduleCursor.job
	if job.OneZone {
		total := 0
		for i := range max(len(job.ByZone), len(scheduleCursor.placed)) {
			if n := inZone(scheduleCursor, i); n > 0 && i != z {
				return false
			} else {
				total += n
			}
		}
		if total == 0 && z != roomiest(input, job) {
			return false
		}
	}
	return !job.Spread || inZone(scheduleCursor, z)+1 <= job.MaxPerZone()
}

// roomiest is the zone with room for the most tasks of a job.
func roomiest(input *Input, job *storage.Job) int {
	var room []int
	best := -1
	for _, s := range input.Slots {
		if !Allowed(job, s.Machine) {
			continue
		}
		for len(room) <= s.Machine.Zone {
			room = append(room, 0)
		}
		room[s.Machine.Zone] += Fits(FreeFor(s, job), job)
		if best < 0 || room[s.Machine.Zone] > room[best] {
			best = s.Machine.Zone
		}
	}
	return best
}

// exhausted remembers what found no room in this pass. Room only gets less, so what takes
// as much and may run on no more machines finds none either: hundreds of waiting jobs
// cost no look at every machine each.
type exhausted struct {
	in    *Input
	sizes []storage.Job
	kept  []bool                // by size: it was looked for on spot machines only
	held  map[*storage.Job]bool // they have room of their own
}

func (n *exhausted) note(j *storage.Job) {
	if len(j.Types) == 0 && !j.OneZone && !j.Spread && len(n.sizes) < 16 {
		n.sizes = append(n.sizes, storage.Job{Cpus: j.Cpus, Gpus: j.Gpus, Mem: j.Mem, Spot: j.Spot, Zone: j.Zone})
		n.kept = append(n.kept, n.in.leavesOnDemand(j))
	}
}

func (n *exhausted) covers(j *storage.Job) bool {
	if n.held[j] {
		return false
	}
	for i, f := range n.sizes {
		if j.Cpus >= f.Cpus && j.Gpus >= f.Gpus && j.Mem >= f.Mem && (f.Spot || !j.Spot) && (f.Zone < 0 || f.Zone == j.Zone) &&
			(!n.kept[i] || n.in.leavesOnDemand(j)) {
			return true
		}
	}
	return false
}

// cost is what a placement costs in seconds: the fetch with those already
// waiting, the machine's risk, and little things that only break ties.
func cost(input *Input, slot *Slot, job *storage.Job) float64 {
	c := slot.Risk
	c += slot.fetches(job)
	switch {
	case job.Spot && !job.FinishBy.IsZero():
		// A task that is lost and runs again delays all that waits for it: there is a
		// deadline behind it, which leaves no time for that.
		if slot.Machine.Spot {
			c += awaitedOnSpot
		}
	case job.Spot && !slot.Machine.Spot:
		c += input.OnDemandWeight // ordinary machines are left to those that need them
	}
	if loss := spotLoss(job); job.Spot && loss >= fragileFrom {
		// They part over the spot machines, but are not driven to others by that:
		// there they are in the way of work that evicts them.
		if slot.Machine.Spot {
			c += min(fragileMost, loss*float64(slot.Fragile)/fragileTogether)
		} else {
			c += fragileMost
		}
	}
	// In a fixed order, the cheap ones first: as work gets less, it leaves whole
	// dear machines empty, which can then be returned.
	c += packSeconds * slot.Rank
	return c
}

const (
	spotTaken       = 7200 // seconds until a spot machine is taken, as a guess
	fragileFrom     = 1    // seconds of expected loss that make a task fragile
	fragileMost     = 12   // seconds that this counts at most
	fragileTogether = 8    // as many on one machine cost as much again as one stands to lose
)

// awaitedOnSpot is what it costs, in seconds, to put a task of a pipeline with a deadline on
// a machine that may be taken.
const awaitedOnSpot = 4

// spotLoss is how many seconds a task is expected to lose because its machine is taken:
// long ones that do not save lose most, and run their whole time again at the end.
// Many of them on one machine would all be late together.
func spotLoss(j *storage.Job) float64 {
	lost := j.Estimate
	if j.CheckpointInterval > 0 {
		lost = min(lost, j.CheckpointInterval)
	}
	return lost * j.Estimate / spotTaken
}

// AddFragile counts a task that runs on the slot's machine.
func (s *Slot) AddFragile(j *storage.Job) {
	if spotLoss(j) >= fragileFrom {
		s.Fragile++
	}
}

func take(input *Input, scheduleCursor *cursor, slot *Slot) {
	job := scheduleCursor.job
	slot.Free.Add(job, -1)
	slot.AddFragile(job)
	for i := range slot.Reservations {
		if slot.Reservations[i].Job == job && slot.Reservations[i].Slots > 0 {
			slot.Reservations[i].Slots--
		}
	}
	slot.fetch(job)
	scheduleCursor.took = append(scheduleCursor.took, slot)
	slot.Record.Free--
	if !slot.Record.Touched {
		slot.Record.Touched = true
		input.Records--
	}
	scheduleCursor.inZone(slot.Machine.Zone)
	input.Used[job.Team].Add(job, 1)
	if l := input.Queues.At(storage.ClassQueueOf(job)); l != nil {
		l.Used += job.Size
	}
}
