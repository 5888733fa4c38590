package controller

import "time"

// storeHealth is how the state service treats this controller, and how many changes a second
// this controller makes there. It is written by this file and where answers of the state
// service arrive.
type storeHealth struct {
	servedAt      time.Time // when it last served this controller
	failingSince  time.Time // it has not answered well since then; zero: it does
	changesUsed   uint64    // made by this controller when last looked at
	changesUsedAt time.Time
	changeRate    float64 // changes a second, smoothed over about a second
}

const (
	// storeFailingAfter is how long the state service must answer badly before nothing waits for it.
	storeFailingAfter = time.Second
	// machineWeight is how much more a controller's part of the machines counts in its share of
	// the rate than its part of the shards.
	machineWeight = 3
)

// updateRateShare sets in the state service's client how much of its rate this controller may
// use: in proportion to the machines that it commits for, which every controller knows.
func (c *Controller) updateRateShare() {
	part := c.ownedPart()
	now := time.Now()
	c.storeHealth.updateChangeRate(c.store.ChangesUsed(), now)
	c.store.SetRateShare(part, c.isLeader(), c.storeHealth.changeRate, c.othersChangeRate(now))
}

// ownedPart is the part of the machines and shards that this controller commits for, from 0 to 1.
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
	// A shard with few machines yet still has to place its first work.
	return (part + machineWeight*float64(ownMachines)/float64(allMachines)) / (1 + machineWeight)
}

// updateChangeRate takes how many changes this controller has made until now.
func (h *storeHealth) updateChangeRate(changesUsed uint64, now time.Time) {
	elapsedS := now.Sub(h.changesUsedAt).Seconds()
	if elapsedS <= 0 {
		return
	}
	rate := float64(changesUsed-h.changesUsed) / elapsedS
	h.changeRate += min(1, elapsedS) * (rate - h.changeRate) // over about a second
	h.changesUsed, h.changesUsedAt = changesUsed, now
}

// storeFailing reports whether answers should not wait for a commit.
func (c *Controller) storeFailing() bool {
	return !c.storeHealth.failingSince.IsZero() && time.Since(c.storeHealth.failingSince) > storeFailingAfter
}

// served reports whether the state service has answered this controller well just now.
func (h *storeHealth) served(now time.Time) bool {
	return h.failingSince.IsZero() && now.Sub(h.servedAt) < peerFresh
}
