package storage

import (
	"cmp"
	"math"
	"slices"
)

// maxClassesPerTeam is how many classes of a team are told apart; names of classes come from users.
const maxClassesPerTeam = 32

// ClassQueue is a class of one team, by their indices.
type ClassQueue struct{ Team, Class int }

// Index is a queue's place among all; there are ClassQueueCount of them.
func (q ClassQueue) Index() int { return q.Team*maxClassesPerTeam + q.Class }

// ClassQueueCount is how many queues so many teams can have.
func ClassQueueCount(teams int) int { return teams * maxClassesPerTeam }

// ClassQueueOf is the queue that a job is in. Classes beyond those told apart share one.
func ClassQueueOf(job *Job) ClassQueue { return newClassQueue(job.Team, job.Class) }

func newClassQueue(team, class int) ClassQueue {
	return ClassQueue{team, min(class, maxClassesPerTeam-1)}
}

// Baseline is the usual demand as the cache has it: the CPUs that each queue keeps busy on average.
// A controller of a version before it reads no such key and leaves it alone; the record is only
// written once the packed layout is enabled.
type Baseline struct {
	Cpus    map[ClassQueue]float64
	Version uint64 // 0: nothing is known yet
}

// BaselineRecordOf makes a record of at most limit bytes; the smallest queues are left out
// where it would be larger.
func (c *Cache) BaselineRecordOf(cpus map[ClassQueue]float64, limit int) BaselineRecord {
	var record BaselineRecord
	for queue, demand := range cpus {
		rounded := math.Round(demand*1000) / 1000
		record.Queues = append(record.Queues, BaselineQueue{c.Teams[queue.Team].Name, c.Classes.Name(queue.Class), rounded})
	}
	slices.SortFunc(record.Queues, func(a, b BaselineQueue) int {
		return cmp.Or(cmp.Compare(b.Cpus, a.Cpus), cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class))
	})
	for len(record.Queues) > 0 && len(Encode(record)) > limit {
		record.Queues = record.Queues[:len(record.Queues)*9/10]
	}
	return record
}

// applyBaseline takes the record of the usual demand.
func (c *Cache) applyBaseline(change recordChange) error {
	if change.deleted {
		c.Baseline = Baseline{}
		return nil
	}
	record, err := decodeJSON[BaselineRecord](change.value)
	if err != nil {
		return err
	}
	baseline := Baseline{Cpus: map[ClassQueue]float64{}, Version: change.revision}
	for _, queue := range record.Queues {
		// A team that the settings name no more has no jobs either.
		if team := c.TeamIndex.Find(queue.Team); team >= 0 && queue.Cpus > 0 {
			baseline.Cpus[newClassQueue(team, c.Classes.Index(queue.Class))] = queue.Cpus
		}
	}
	c.Baseline = baseline
	return nil
}

// Arrivals is what was asked for: jobs, and their work in CPU seconds.
type Arrivals struct{ Jobs, Work float64 }

// countArrival counts a job that is new to this process.
func (c *Cache) countArrival(job *Job) {
	if job.Estimate > 0 {
		queue := ClassQueueOf(job)
		previous := c.Arrivals[queue]
		c.Arrivals[queue] = Arrivals{previous.Jobs + 1, previous.Work + float64(job.Tasks)*job.Size*job.Estimate}
	}
}
