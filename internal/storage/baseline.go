package storage

import (
	"cmp"
	"math"
	"slices"
)

// maxClassesPerTeam is the number of class queues per team. Users choose class names freely, so the
// number of queues needs a bound. Class indices are shared by all teams; classes whose index is above
// the bound use a team's last queue together.
const maxClassesPerTeam = 32

// ClassQueue identifies the queue of one class of one team, by their indices.
type ClassQueue struct{ Team, Class int }

// Index returns the queue's dense index, which is below ClassQueueCount.
func (q ClassQueue) Index() int { return q.Team*maxClassesPerTeam + q.Class }

// ClassQueueCount returns the maximum number of class queues of the given number of teams.
func ClassQueueCount(teams int) int { return teams * maxClassesPerTeam }

// ClassQueueOf returns a job's class queue. Classes with an index of maxClassesPerTeam-1 or more share
// one queue per team.
func ClassQueueOf(job *Job) ClassQueue { return newClassQueue(job.Team, job.Class) }

// newClassQueue returns the queue of a class of a team. Class indices are shared by all teams, so even a
// team with few classes may have some in its last queue.
func newClassQueue(team, class int) ClassQueue {
	return ClassQueue{team, min(class, maxClassesPerTeam-1)}
}

// Baseline is the cached baseline demand: the average number of CPUs that each class queue keeps
// busy. Versions without a baseline ignore the record's key. The record is written only after the
// packed layout is enabled.
type Baseline struct {
	Cpus    map[ClassQueue]float64
	Version uint64 // 0: no record
}

// BaselineRecordOf returns the baseline record for the given demand. It omits the smallest queues if
// the record would otherwise exceed limit bytes.
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

// applyBaseline applies a change of the baseline demand record.
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
		// A team that was removed from the settings has no jobs either.
		if team := c.TeamIndex.Find(queue.Team); team >= 0 && queue.Cpus > 0 {
			baseline.Cpus[newClassQueue(team, c.Classes.Index(queue.Class))] = queue.Cpus
		}
	}
	c.Baseline = baseline
	return nil
}

// Arrivals counts submitted jobs and their estimated work in CPU seconds.
type Arrivals struct{ Jobs, Work float64 }

// countArrival adds a job that this process reads for the first time to Arrivals. Jobs without an
// estimate are not counted.
func (c *Cache) countArrival(job *Job) {
	if job.Estimate > 0 {
		queue := ClassQueueOf(job)
		previous := c.Arrivals[queue]
		c.Arrivals[queue] = Arrivals{previous.Jobs + 1, previous.Work + float64(job.Tasks)*job.TaskSize*job.Estimate}
	}
}
