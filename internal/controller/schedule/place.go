package schedule

import (
	"slices"
	"time"

	"dykeledge/internal/storage"
)

// jobCursor is the progress of a pass with one job.
type jobCursor struct {
	job           *storage.Job
	nextTask      int
	tasksLeft     int
	placedByZone  []int32   // by zone, tasks placed or claimed in this pass
	placedOn      []*Slot   // by task placed in this pass: its slot
	claimed       []*Slot   // by waiting task: the slot whose boot or preemptible capacity it waits for
	latestStart   time.Time // latest time at which it should start
	deadline      time.Time // zero: it has none that it can still meet
	slackS        float64   // seconds within which it must get its capacity to meet its deadline
	remainingWork float64   // work of the tasks left to start, in CPU-seconds
	urgency       urgency
}

// jobQueue holds the waiting jobs of one class queue, in the order in which they start.
type jobQueue struct {
	class  storage.ClassQueue
	jobs   []*jobCursor
	finder jobFinder
}

// newQueues groups the waiting jobs into class queues and sorts each queue.
func newQueues(input *Input) []*jobQueue {
	if input.Scratch == nil {
		input.Scratch = &Scratch{}
	}
	// The queues hold pointers into this slice, so it must not be reallocated during the pass.
	cursors := slices.Grow(input.Scratch.cursors[:0], len(input.Jobs))
	input.Scratch.cursors = cursors
	var queues []*jobQueue
	for _, job := range input.Jobs {
		if job.Waiting() == 0 || (input.Held != nil && input.Held(job)) {
			continue
		}
		var queue *jobQueue
		queues, queue = findOrAddQueue(queues, job)
		tasksLeft := job.Waiting()
		if input.MaxTasksOf != nil {
			tasksLeft = min(tasksLeft, input.MaxTasksOf(job))
		}
		cursors = append(cursors, jobCursor{job: job, nextTask: job.NextWaiting(0), tasksLeft: tasksLeft})
		cursor := &cursors[len(cursors)-1]
		cursor.setDeadline(input)
		queue.jobs = append(queue.jobs, cursor)
	}
	for _, queue := range queues {
		queue.order(input)
	}
	return queues
}

// pass is the state of one run of Place.
type pass struct {
	input  *Input
	search search
	queues []*jobQueue // queues with jobs left
	result Result
}

// Place decides which waiting tasks start on which machines. It places one task at a time, always the next
// task of the first class queue in order, until no job is left or Input.Tasks tasks are placed.
func Place(input *Input) Result {
	p := pass{
		input:  input,
		queues: newQueues(input),
		search: newSearch(input),
		result: Result{UnplacedTasks: map[*storage.Job]int{}},
	}
	firstByTeam := make([]int, len(input.Teams))
	for len(p.queues) > 0 && len(p.result.Placed) < input.Tasks {
		queueIndex := nextQueue(input, p.queues, firstByTeam)
		p.placeNext(p.queues[queueIndex])
		p.dropIfDone(queueIndex)
	}
	if len(p.queues) > 0 {
		p.result.Incomplete = true
	}
	p.result.Scans = p.search.scans
	return p.result
}

// placeNext decides on the next task of a queue's first job. If the task finds no slot, the job is finished
// for this pass, since its other tasks are alike.
func (p *pass) placeNext(queue *jobQueue) {
	cursor := queue.jobs[0]
	job := cursor.job
	if !WithinLimit(p.input.Teams[job.Team], p.input.Used[job.Team], job, 1) {
		cursor.tasksLeft = 0
		return
	}
	slot, recordLimited := p.search.next(&queue.finder, cursor)
	switch {
	case slot != nil:
		p.placeOrWait(cursor, slot)
	case recordLimited:
		p.result.Incomplete = true
		cursor.tasksLeft = 0
	default:
		p.result.UnplacedTasks[job] += cursor.tasksLeft
		cursor.tasksLeft = 0
	}
}

// placeOrWait places a job's next task on a free slot, unless it starts sooner elsewhere and should wait.
func (p *pass) placeOrWait(cursor *jobCursor, slot *Slot) {
	if soonest := p.input.claimSoonerStart(cursor, slot); soonest != nil {
		if soonest.BootRemainingS == 0 {
			p.result.UnplacedTasks[cursor.job]++
		}
	} else {
		recordPlacement(p.input, cursor, slot)
		p.search.update(slot, p.queues)
		p.result.Placed = append(p.result.Placed, Placement{cursor.job, cursor.nextTask, slot})
	}
	cursor.advance()
}

// advance moves the cursor to the job's next waiting task.
func (c *jobCursor) advance() {
	c.tasksLeft--
	c.nextTask = c.job.NextWaiting(c.nextTask + 1)
}

// dropIfDone removes a queue's first job if none of its tasks is left, and the queue if it has no more jobs.
func (p *pass) dropIfDone(queueIndex int) {
	queue := p.queues[queueIndex]
	if cursor := queue.jobs[0]; cursor.tasksLeft != 0 && cursor.nextTask >= 0 {
		return
	}
	queue.jobs = queue.jobs[1:]
	if len(queue.jobs) == 0 {
		p.queues = slices.Delete(p.queues, queueIndex, queueIndex+1)
	}
}

// recordPlacement adds a placed task to the slot, its record, the job's cursor and the usage of its team and
// class queue.
func recordPlacement(input *Input, cursor *jobCursor, slot *Slot) {
	job := cursor.job
	slot.Free.Add(job, -1)
	slot.AddFragile(job)
	for i := range slot.Reservations {
		if slot.Reservations[i].Job == job && slot.Reservations[i].Slots > 0 {
			slot.Reservations[i].Slots--
		}
	}
	slot.startFetch(job)
	cursor.placedOn = append(cursor.placedOn, slot)
	slot.Record.Free--
	if !slot.Record.Rewritten {
		slot.Record.Rewritten = true
		input.RecordBudget--
	}
	cursor.countInZone(slot.Machine.Zone)
	input.Used[job.Team].Add(job, 1)
	if state := input.Queues.At(storage.ClassQueueOf(job)); state != nil {
		state.Used += job.TaskSize
	}
}
