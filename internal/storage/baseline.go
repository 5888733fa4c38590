package storage

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
)

// This file owns the record of what is usual. A controller of a version before it reads no such
// key and leaves it alone; it is only written once the packed layout is.

// maxClassesPerTeam is how many classes of a team are told apart; names of classes come from users.
const maxClassesPerTeam = 32

// ClassQueue is a class of one team, by their indices.
type ClassQueue struct{ Team, Class int }

// Index is a queue's place among all; there are ClassQueueCount of them.
func (l ClassQueue) Index() int { return l.Team*maxClassesPerTeam + l.Class }

// ClassQueueCount is how many queues so many teams can have.
func ClassQueueCount(teams int) int { return teams * maxClassesPerTeam }

// ClassQueueOf is the queue that a job is in. Classes beyond those told apart share one.
func ClassQueueOf(j *Job) ClassQueue { return ClassQueue{j.Team, min(j.Class, maxClassesPerTeam-1)} }

// Baseline is the record as the cache has it; Version 0: nothing is known yet.
type Baseline struct {
	Cpus    map[ClassQueue]float64
	Version uint64
}

// BaselineRecordOf makes a record of at most limit bytes; the smallest queues are left out
// where it would be larger.
func (c *Cache) BaselineRecordOf(cpus map[ClassQueue]float64, limit int) BaselineRecord {
	var r BaselineRecord
	for l, u := range cpus {
		r.Queues = append(r.Queues, BaselineQueue{c.Teams[l.Team].Name, c.Classes.Name(l.Class), math.Round(u*1000) / 1000})
	}
	slices.SortFunc(r.Queues, func(x, y BaselineQueue) int {
		return cmp.Or(cmp.Compare(y.Cpus, x.Cpus), cmp.Compare(x.Team, y.Team), cmp.Compare(x.Class, y.Class))
	})
	for len(r.Queues) > 0 && len(Encode(r)) > limit {
		r.Queues = r.Queues[:len(r.Queues)*9/10]
	}
	return r
}

func (c *Cache) applyBaseline(value json.RawMessage, version uint64) error {
	var baselineRecord BaselineRecord
	if err := json.Unmarshal(value, &baselineRecord); err != nil {
		return fmt.Errorf("record %s: %w", BaselineKey, err)
	}
	u := Baseline{Cpus: map[ClassQueue]float64{}, Version: version}
	for _, x := range baselineRecord.Queues {
		// A team that the settings name no more has no jobs either.
		if t := c.TeamIndex.Find(x.Team); t >= 0 && x.Cpus > 0 {
			u.Cpus[ClassQueue{t, min(c.Classes.Index(x.Class), maxClassesPerTeam-1)}] = x.Cpus
		}
	}
	c.Baseline = u
	return nil
}

// Arrivals is what was asked for: jobs, and their work in seconds of a CPU.
type Arrivals struct{ Jobs, Work float64 }

// countArrival counts a job that is new to this process.
func (c *Cache) countArrival(j *Job) {
	if j.Estimate > 0 {
		a := c.Arrivals[ClassQueueOf(j)]
		c.Arrivals[ClassQueueOf(j)] = Arrivals{a.Jobs + 1, a.Work + float64(j.Tasks)*j.Size*j.Estimate}
	}
}
