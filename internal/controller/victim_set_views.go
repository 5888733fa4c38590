package controller

import (
	"context"
	"slices"
	"time"

	"dykeledge/internal/storage"
)

// VictimSetView is a victim set as shown to operators, with the scores that its victims were chosen by.
type VictimSetView struct {
	Job     string                 `json:"job"`
	At      time.Time              `json:"at"`
	Shard   int                    `json:"share"`
	Victims []storage.VictimRecord `json:"victims"`
}

// maxRecentVictimSets is the number of victim sets that are kept for operators.
const maxRecentVictimSets = 50

// recordVictimSets keeps the latest victim sets for operators and counts their tasks in the metrics.
func (c *Controller) recordVictimSets() {
	for id, victimSet := range c.cache.VictimSets {
		if c.operator.recordedVictimSets[id] == victimSet.Version {
			continue
		}
		c.operator.recordedVictimSets[id] = victimSet.Version
		c.metrics.preemptedTasks.Add(float64(len(victimSet.Victims)))
		c.operator.addVictimSet(VictimSetView{Job: id, At: time.UnixMilli(victimSet.ChosenAtMs), Shard: victimSet.Shard, Victims: victimSet.Victims})
	}
	for id := range c.operator.recordedVictimSets {
		if c.cache.VictimSets[id] == nil {
			delete(c.operator.recordedVictimSets, id)
		}
	}
}

// addVictimSet adds a victim set to the recent ones and drops the oldest beyond maxRecentVictimSets.
func (o *operatorState) addVictimSet(victimSetView VictimSetView) {
	o.recentVictimSets = append(o.recentVictimSets, victimSetView)
	if n := len(o.recentVictimSets); n > maxRecentVictimSets {
		o.recentVictimSets = slices.Clone(o.recentVictimSets[n-maxRecentVictimSets:])
	}
}

// Evictions returns the recent victim sets that this controller has seen, newest first.
func (c *Controller) Evictions(ctx context.Context) ([]VictimSetView, error) {
	evictions := []VictimSetView{}
	err := c.call(ctx, func() {
		evictions = append(evictions, c.operator.recentVictimSets...)
		slices.Reverse(evictions)
	})
	return evictions, err
}
