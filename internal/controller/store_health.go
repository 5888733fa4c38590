package controller

import "time"

// storeHealth holds whether the state service answers this controller, and how many changes per
// second this controller makes there. It is written by this file and where answers of the state
// service arrive.
type storeHealth struct {
	servedAt      time.Time // when the state service last answered this controller successfully
	failingSince  time.Time // since when commits have failed; zero: the latest commit or watch succeeded
	changesUsed   uint64    // total of changes made by this controller at changesUsedAt
	changesUsedAt time.Time // when changesUsed was last read
	changeRate    float64   // changes per second, smoothed over about a second
}

const (
	// storeFailingAfter is how long commits must fail before answers no longer wait for them.
	storeFailingAfter = time.Second
	// machineWeight is the weight of a controller's part of the machines in its share of the rate; its
	// part of the shards has weight 1.
	machineWeight = 3
)

// updateRateShare sets the share of the state service's rate that this controller's client may use. It
// is proportional to the machines and shards that this controller commits for, which every controller
// can compute from the records.
func (c *Controller) updateRateShare() {
	part := c.ownedPart()
	now := time.Now()
	c.storeHealth.updateChangeRate(c.store.ChangesUsed(), now)
	c.store.SetRateShare(part, c.isLeader(), c.storeHealth.changeRate, c.othersChangeRate(now))
}

// ownedPart returns the weighted part of all machines and shards that this controller owns, from 0
// to 1.
func (c *Controller) ownedPart() float64 {
	ownMachines, allMachines := 0, 0
	for _, machine := range c.cache.Machines {
		if machine.Gone {
			continue
		}
		allMachines++
		if c.ownsShard(machine.Shard) {
			ownMachines++
		}
	}
	ownShards := 0
	for shard := range c.shards.owned {
		if c.ownsShard(shard) {
			ownShards++
		}
	}
	part := float64(ownShards) / float64(len(c.shards.owned))
	if allMachines == 0 {
		return part
	}
	// Shards count too, since a shard with few machines still has to place its first tasks.
	return (part + machineWeight*float64(ownMachines)/float64(allMachines)) / (1 + machineWeight)
}

// updateChangeRate updates the smoothed rate from the total of changes made until now.
func (h *storeHealth) updateChangeRate(changesUsed uint64, now time.Time) {
	elapsedS := now.Sub(h.changesUsedAt).Seconds()
	if elapsedS <= 0 {
		return
	}
	rate := float64(changesUsed-h.changesUsed) / elapsedS
	h.changeRate += min(1, elapsedS) * (rate - h.changeRate) // smoothed over about a second
	h.changesUsed, h.changesUsedAt = changesUsed, now
}

// storeFailing reports whether commits have failed for longer than storeFailingAfter, so that answers
// should not wait for one.
func (c *Controller) storeFailing() bool {
	return !c.storeHealth.failingSince.IsZero() && time.Since(c.storeHealth.failingSince) > storeFailingAfter
}

// served reports whether the state service answers this controller: its last successful answer is less
// than peerFreshPeriod old, and no commit has failed since.
func (h *storeHealth) served(now time.Time) bool {
	return h.failingSince.IsZero() && now.Sub(h.servedAt) < peerFreshPeriod
}
