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

// updateRateShare tells the state service's client how much of its rate this controller may
// use: in proportion to the machines that it commits for, which every controller knows.
func (c *Controller) updateRateShare() {
	mine, all := 0, 0
	for _, m := range c.cache.Machines {
		if !m.Gone {
			all++
			if c.ownsShard(m.Shard) {
				mine++
			}
		}
	}
	shares := 0
	for s := range c.shards.owned {
		if c.ownsShard(s) {
			shares++
		}
	}
	// A shard with few machines yet still has to place its first work.
	part := float64(shares) / float64(len(c.shards.owned))
	if all > 0 {
		part = (part + 3*float64(mine)/float64(all)) / 4
	}
	now := time.Now()
	if dt := now.Sub(c.storeHealth.changesUsedAt).Seconds(); dt > 0 {
		spent := c.store.ChangesUsed()
		c.storeHealth.changeRate += min(1, dt) * (float64(spent-c.storeHealth.changesUsed)/dt - c.storeHealth.changeRate) // over about a second
		c.storeHealth.changesUsed, c.storeHealth.changesUsedAt = spent, now
	}
	c.store.SetRateShare(part, c.isLeader(), c.storeHealth.changeRate, c.othersChangeRate(now))
}

// storeFailing tells whether answers should not wait for a commit.
func (c *Controller) storeFailing() bool {
	return !c.storeHealth.failingSince.IsZero() && time.Since(c.storeHealth.failingSince) > time.Second
}

// servedByStore tells whether the state service has answered this controller well just now.
func (c *Controller) servedByStore(now time.Time) bool {
	return c.storeHealth.failingSince.IsZero() && now.Sub(c.storeHealth.servedAt) < peerFresh
}
