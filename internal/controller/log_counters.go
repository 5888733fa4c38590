package controller

import "time"

// logCounters holds the counters of this controller's work that are logged every logCountersInterval.
type logCounters struct {
	passes   int
	total    time.Duration // sum over all passes
	longest  time.Duration // longest pass
	loggedAt time.Time     // when the counters were last logged
	changes  uint64        // changes made by this controller until then
}

// recordPass counts a planning pass and its duration.
func (l *logCounters) recordPass(d time.Duration) {
	l.passes++
	l.total += d
	l.longest = max(l.longest, d)
}

// logCountersInterval is the time between two log lines with the counters.
const logCountersInterval = 30 * time.Second

// logCounters logs figures that operators compare between clusters of different sizes; the metrics hold more.
func (c *Controller) logCounters(now time.Time) {
	counters := &c.metrics.counters
	if now.Sub(counters.loggedAt) < logCountersInterval {
		return
	}
	changes := c.store.ChangesUsed()
	if !counters.loggedAt.IsZero() {
		changesPerS := float64(changes-counters.changes) / now.Sub(counters.loggedAt).Seconds()
		c.log.Info("counters", "machines", c.ownMachines(), "open_jobs", c.ownOpenJobs(), "passes", counters.passes,
			"pass_mean_ms", milliseconds(counters.total)/float64(max(1, counters.passes)), "pass_longest_ms", milliseconds(counters.longest),
			"changes_per_s", float64(int(changesPerS*10))/10, "revision", c.cache.Revision)
	}
	*counters = logCounters{loggedAt: now, changes: changes}
}

// ownMachines returns the number of machines in this controller's shards.
func (c *Controller) ownMachines() int {
	count := 0
	for _, machine := range c.cache.Machines {
		if !machine.Gone && c.ownsShard(machine.Shard) {
			count++
		}
	}
	return count
}

// ownOpenJobs returns the number of unfinished jobs in this controller's shards.
func (c *Controller) ownOpenJobs() int {
	count := 0
	for _, job := range c.cache.Jobs {
		if job != nil && job.Open() && c.ownsShard(job.Shard) {
			count++
		}
	}
	return count
}
